package cowslipquery_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// Pattern: bulkhead against a poison request. A wide request that crashes every target that
// runs it must not reach the second replica of each shard as well. Parts that a target
// broke off are asked again only once some target has answered.
func TestLostPartsAwaitAnAnswer(t *testing.T) {
	const shards = 20
	for _, c := range []struct {
		name    string
		lost    func(n int) bool // whether the nth request is broken off
		sent    int
		missing int
		took    time.Duration
	}{
		{"all are broken off", func(int) bool { return true }, shards, shards, ms},
		{"all but one at first", func(n int) bool { return n != 7 && n < shards }, 2*shards - 1, 0, 10 * ms},
		{"a few", func(n int) bool { return n < 3 }, shards + 3, 0, 10 * ms},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newDispatchHarness(t, shards, 5, func(n int, _ cowslipquery.DispatchAction) targetReply {
				if c.lost(n) {
					return targetReply{after: ms, outcome: cowsliptarget.Lost}
				}
				return targetReply{after: 5 * ms}
			}, func(o *cowslipquery.DispatchOptions) { o.HoldLost = true })
			x.run()
			missing := 0
			for i := range shards {
				if x.dispatch.Winner(i) < 0 {
					missing++
				}
			}
			require.Len(t, x.sent, c.sent)
			require.Equal(t, c.missing, missing)
			require.Equal(t, c.took, x.now.Sub(t0))
		})
	}
}

// Guards against a second crash in one sending of a wide request whose part in one shard has
// crashed a target before: that part is neither hedged nor sent again after it was lost.
func TestSuspectPartIsTriedOnce(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply targetReply
		once  bool
		sent  int
	}{
		{"lost, suspect", targetReply{after: ms, outcome: cowsliptarget.Lost}, true, 2},
		{"lost", targetReply{after: ms, outcome: cowsliptarget.Lost}, false, 3},
		{"slow, suspect", targetReply{after: 40 * ms}, true, 2},
		{"slow", targetReply{after: 40 * ms}, false, 3},
		{"shed, suspect", targetReply{after: ms, outcome: cowsliptarget.Shed}, true, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newDispatchHarness(t, 2, 5, func(n int, _ cowslipquery.DispatchAction) targetReply {
				if n == 0 {
					return c.reply
				}
				return targetReply{after: 3 * ms}
			}, func(o *cowslipquery.DispatchOptions) { o.Parts[0].Once = c.once })
			x.run()
			require.Len(t, x.sent, c.sent)
		})
	}
}
