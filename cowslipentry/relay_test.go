package cowslipentry

import (
	"context"
	"sync"
	"testing"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowslipstandin"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"storj.io/drpc"
)

// offer is a stream on which a peer offers one request and never tells to begin it.
type offer struct {
	drpc.Stream
	ctx     context.Context
	request *cowslipmessage.RelayRequest
	reply   chan *cowslipmessage.RelayReply
	sent    bool
}

func (o *offer) Context() context.Context { return o.ctx }

func (o *offer) Recv() (*cowslipmessage.RelayRequest, error) {
	if !o.sent {
		o.sent = true
		return o.request, nil
	}
	<-o.ctx.Done()
	return nil, errors.New("the peer has left")
}

func (o *offer) Send(r *cowslipmessage.RelayReply) error {
	o.reply <- r
	return nil
}

// Load: peers offer far more requests at once than an instance serves for others. It must
// accept no more than its limit, and must accept again once those have ended.
func TestOffersAtOnceKeepTheLimit(t *testing.T) {
	e, _ := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"))
	e.ready.Store(true)
	e.view.Store(cowsliproute.NewView(cowsliproute.ViewOptions{ConfigDigest: 1}))
	for range 20 {
		ctx, cancel := context.WithCancel(t.Context())
		reply := make(chan *cowslipmessage.RelayReply)
		var w sync.WaitGroup
		const offers = 8 * maxRelayedRequests
		for range offers {
			w.Go(func() {
				_ = e.onRelay(&offer{ctx: ctx, request: &cowslipmessage.RelayRequest{Digest: 1}, reply: reply})
			})
		}
		taken := 0
		for range offers {
			if r := <-reply; r.GetTaken() {
				taken++
			} else {
				require.NotEmpty(t, r.GetReason())
			}
		}
		cancel()
		w.Wait()
		require.LessOrEqual(t, taken, maxRelayedRequests)
		require.NotZero(t, taken)
		require.Zero(t, e.activeRelays.Load())
	}
}
