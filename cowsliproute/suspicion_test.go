package cowsliproute_test

import (
	"testing"
	"time"

	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// A request is tried again once all that is known of it allows that.
func TestMergedSuspicionHoldsLongest(t *testing.T) {
	early, late := time.Unix(1, 0), time.Unix(2, 0)
	held := func(until time.Time) cowsliproute.Suspicion {
		return cowsliproute.Suspicion{Verdict: cowsliproute.Quarantined, HeldUntil: until}
	}
	for _, c := range []struct {
		name       string
		a, b, want cowsliproute.Suspicion
	}{
		{"nothing else known", held(early), cowsliproute.Suspicion{}, held(early)},
		{"both held", held(early), held(late), held(late)},
		{"one held for an unknown time", held(early), held(time.Time{}), held(time.Time{})},
		{"one on trial", held(early), cowsliproute.Suspicion{Verdict: cowsliproute.Suspect, Trial: true}, cowsliproute.Suspicion{Verdict: cowsliproute.Quarantined, HeldUntil: early, Trial: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.want, c.a.Merge(c.b))
			require.Equal(t, c.want, c.b.Merge(c.a))
		})
	}
}
