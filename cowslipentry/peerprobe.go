package cowslipentry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslippeer"
)

// peerProbeInterval is the time between two probes of a failure domain that may be
// cut off.
const peerProbeInterval = 100 * time.Millisecond

// peerProbeLoop probes the failure domains that may be cut off, so that the end of a
// cut is noticed without requests of callers. Each probe goes to a random instance of
// the failure domain.
func (e *Entry) peerProbeLoop() {
	for e.sleep(e.ctx, peerProbeInterval) {
		var cut map[string][]cowslipcontrol.Member
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { cut = c.PeersToProbe() })
		var w sync.WaitGroup
		for _, l := range cut {
			if len(l) == 0 {
				continue
			}
			m := l[rand.IntN(len(l))]
			w.Go(func() { e.probePeer(m) })
		}
		w.Wait()
	}
}

// probePeer calls an instance over a new connection, since a connection opened before
// a cut may stay silent after the cut has ended.
func (e *Entry) probePeer(m cowslipcontrol.Member) {
	k := &cowslippeer.Client{Addr: m.Addr, Dial: e.opts.Dial}
	defer k.Close()
	e.followPeer(k, m, 0)
}
