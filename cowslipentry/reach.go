package cowslipentry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslippeer"
)

// peerProbeInterval is how often an instance of a failure domain that may be cut off is
// asked for a sign.
const peerProbeInterval = 100 * time.Millisecond

// peerProbeLoop asks instances of failure domains that may be cut off, another one each
// time, so that a healed cut is noticed without requests of callers.
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

// probePeer calls an instance over a connection of its own: one that was kept
// since before a cut may stay silent after it.
func (e *Entry) probePeer(m cowslipcontrol.Member) {
	k := &cowslippeer.Client{Addr: m.Addr, Dial: e.opts.Dial}
	defer k.Close()
	e.followPeer(k, m, 0)
}
