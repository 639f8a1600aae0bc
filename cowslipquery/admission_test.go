package cowslipquery_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipquery"

	"github.com/stretchr/testify/require"
)

// Pattern: admission control of wide requests. Half of the shards have only replicas that
// take few requests a second, less than callers send. A request that cannot get enough of
// them in time must be refused before it uses up what the others need, so that as many are
// served whole as these shards allow.
func TestWideRequestsAreAdmittedWhole(t *testing.T) {
	const (
		shards, limited, minParts = 20, 10, 18
		perSecond                 = 1.5 // of each replica of the most limited shard
		requests                  = 400
		interval                  = 120 * ms
	)
	var o cowslipquery.DispatchOptions
	newDispatchHarness(t, shards, 0, nil, func(p *cowslipquery.DispatchOptions) { o = *p })
	for i, p := range o.Parts[:limited] {
		for _, r := range p.Replicas {
			r.SetPace(t0, perSecond*(1+float64(i)/limited), 1)
		}
	}
	served, sent := 0, 0
	for i := range requests {
		now := t0.Add(time.Duration(i) * interval)
		o.CloseAt, o.PartialAt, o.MinParts, o.HedgeAfter = now.Add(110*ms), now.Add(100*ms), minParts, 0
		o.CapacityDeadline = o.PartialAt
		if d, ok := o.StartDelay(now); !ok || now.Add(d).After(o.CapacityDeadline) {
			continue
		}
		x := &dispatchHarness{dispatch: cowslipquery.NewDispatch(o), now: now, reply: func(int, cowslipquery.DispatchAction) targetReply { return targetReply{after: 5 * ms} }}
		x.run()
		sent += len(x.sent)
		answered := 0
		for n := range shards {
			if x.dispatch.Winner(n) >= 0 {
				answered++
			}
		}
		if answered >= minParts {
			served++
		}
	}
	capacity := 2 * perSecond * (requests * interval).Seconds()
	t.Logf("%d of %d served, %d requests sent; the most limited shard takes %.0f", served, requests, sent, capacity)
	require.Greater(t, float64(served), 0.9*capacity)
	require.GreaterOrEqual(t, float64(served*shards), 0.95*float64(sent), "no request is sent for answers that cannot be whole enough")
}
