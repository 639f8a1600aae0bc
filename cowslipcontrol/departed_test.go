package cowslipcontrol

import (
	"testing"
	"time"

	"cowslipflow/cowslipmessage"

	"github.com/stretchr/testify/require"
)

// An instance is silent for so long that its peers drop it, then sends its counters
// again, or a new process takes its place. Each request that it has counted must count
// once in the pooled evidence: a fault that counts twice takes a good version back.
func TestEvidenceOfAReturningPeerCountsOnce(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	k := evidenceKey{"m", "to", "r", "cerro"}
	for _, c := range []struct {
		name        string
		incarnation string
		requests    uint64
		want        uint64
	}{
		{"the same process", "run1", 12, 12},
		{"the same process, before it counts again", "run1", 0, 10},
		{"a new process", "run2", 2, 12},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := New(Options{ID: "e1", FailureDomain: "cerro", Event: func(string, string, string) {}}, now)
			send := func(incarnation string, requests uint64) {
				s := &cowslipmessage.State{Id: "e2", FailureDomain: "cerro", Addr: "e2:1", Incarnation: incarnation}
				if requests > 0 {
					s.Evidence = []*cowslipmessage.Evidence{evidenceMessage(k, counts{requests: requests})}
				}
				x.Message(now, now, s)
			}
			pooled := func() uint64 {
				var n uint64
				for _, l := range x.departedCounts {
					n += l[k].requests
				}
				for i := range x.peers {
					n += x.peers[i].evidence[k].requests
				}
				return n
			}
			send("run1", 10)
			require.EqualValues(t, 10, pooled())
			now = now.Add(time.Hour)
			x.runMembership(now)
			require.Empty(t, x.peers)
			require.EqualValues(t, 10, pooled())
			send(c.incarnation, c.requests)
			require.Equal(t, c.want, pooled())
		})
	}
}
