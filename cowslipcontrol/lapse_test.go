package cowslipcontrol_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Pattern: grace for lapsed registrations. The store was away for so long that the entries
// of all targets lapsed. All that live are listed again two seconds after its return; until
// then, they must stay in use, as there is nothing else to serve requests. One that is
// still missing then is gone, and so is one that leaves later, after the usual grace.
func TestLapsedTargetsStayInUse(t *testing.T) {
	for _, c := range []struct {
		name     string
		returned bool // the removals are the first news after an outage
		inUse    time.Duration
	}{{"after an outage", true, 2200 * time.Millisecond}, {"otherwise", false, 900 * time.Millisecond}} {
		t.Run(c.name, func(t *testing.T) {
			x := newListOnlyBench(t, spreadReplicas...)
			back, gone := x.replica(0, "cerro"), x.replica(1, "plan")
			if c.returned {
				x.StoreReturned(x.now.Add(2300 * time.Millisecond))
			}
			x.UpdateTargets(x.now, nil)
			x.tick(c.inUse)
			require.False(t, back.Leaving())
			require.False(t, gone.Leaving())
			x.UpdateTargets(x.now, instances([]string{"cerro", "plan"}))
			x.tick(200 * time.Millisecond)
			require.False(t, back.Leaving())
			require.True(t, gone.Leaving())
			x.tick(5 * time.Second)
			x.UpdateTargets(x.now, nil)
			x.tick(1100 * time.Millisecond)
			require.True(t, back.Leaving())
		})
	}
}
