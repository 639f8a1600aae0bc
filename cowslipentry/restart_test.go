package cowslipentry

import (
	"context"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
)

const restartConfig = `
[[failureDomains]]
name = "cerro"
[[services]]
name = "households"
kind = "narrow"
version = "v1"
`

// Pattern: read your store before you serve. An instance restarts and gets a listing of
// the store that is seconds old: it has a target that has left since. The instance must
// not be ready before the store has told it what has changed since, unless the store does
// not tell it in time.
func TestRestartedInstanceAwaitsWhatHasChanged(t *testing.T) {
	gone := cowslipplatform.Instance{ID: "h0", Service: "households", Addr: "127.0.0.1:1", FailureDomain: "cerro", Version: "v1"}
	for _, c := range []struct {
		name     string
		answered bool // the store answers a call for changes
	}{{"the store answers", true}, {"the store is lost after the listing", false}} {
		t.Run(c.name, func(t *testing.T) {
			asked, answer := make(chan cowslipplatform.Revision, 10), make(chan bool)
			s := &cowslipplatform.Store{
				Scan: func(_ context.Context, _ string, stale bool) (cowslipplatform.Listing, error) {
					require.True(t, stale, "the first listing is a cheap one")
					return cowslipplatform.Listing{Revision: cowslipplatform.NewRevision(0, 5), Values: []cowslipplatform.Value{{Key: "h0", Revision: cowslipplatform.NewRevision(0, 5)}}}, nil
				},
				Changes: func(ctx context.Context, _ string, after cowslipplatform.Revision, _ time.Duration) ([]cowslipplatform.Change, cowslipplatform.Revision, error) {
					asked <- after
					select {
					case <-answer:
					case <-ctx.Done():
						return nil, cowslipplatform.Revision{}, ctx.Err()
					}
					if !c.answered {
						return nil, cowslipplatform.Revision{}, errors.New("no answer")
					}
					return []cowslipplatform.Change{{Value: cowslipplatform.Value{Key: "h0", Revision: cowslipplatform.NewRevision(0, 6)}, Removed: true}}, cowslipplatform.NewRevision(0, 6), nil
				},
			}
			e, clock := newStillEntry(t, "e1", s)
			e.opts.Edge = func(*Entry) (Edge, error) { return Edge{}, nil }
			e.opts.StoreCodec = StoreCodec{Decode: func(l []cowslipplatform.Value) (StoreContents, []error) {
				x := StoreContents{ConfigText: restartConfig}
				if len(l) > 0 {
					x.Targets = []cowslipplatform.Instance{gone}
				}
				return x, nil
			}}
			targets := func() int {
				n := 0
				e.do(func(_ time.Time, c *cowslipcontrol.Control) { n = c.Status(clock.Now()).Services[0].Targets })
				return n
			}
			tick := func() {
				n := e.metrics.ticks.Value()
				require.Eventually(t, clock.HasWaiters, waitLimit, time.Millisecond)
				clock.Step(tickInterval)
				require.Eventually(t, func() bool { return e.metrics.ticks.Value() > n }, waitLimit, time.Millisecond)
			}
			e.background.Go(e.storeLoop)
			require.Equal(t, cowslipplatform.NewRevision(0, 5), <-asked, "the changes since the listing are asked for at once")
			tick()
			require.Equal(t, 1, targets())
			require.False(t, e.Ready(), "the listing may be old")
			answer <- true
			if !c.answered {
				for range int(confirmationWait/tickInterval) + 1 {
					tick()
				}
				require.True(t, e.Ready(), "old content is better than none")
				return
			}
			require.Eventually(t, func() bool { tick(); return e.Ready() }, waitLimit, time.Millisecond)
			require.Equal(t, cowslipplatform.NewRevision(0, 6), e.mirror.Revision())
		})
	}
}
