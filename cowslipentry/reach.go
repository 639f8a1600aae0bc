package cowslipentry

import (
	"math/rand/v2"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslippeer"
)

// reachInterval is how often an instance of a failure domain that may be cut off is
// asked for a sign.
const reachInterval = 100 * time.Millisecond

// reachLoop asks instances of failure domains that may be cut off, another one each
// time, so that a healed cut is noticed without requests of callers.
func (e *Entry) reachLoop() {
	for e.sleep(e.life, reachInterval) {
		var cut map[string][]cowslipcontrol.Member
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { cut = c.PeersToProbe() })
		var w sync.WaitGroup
		for _, l := range cut {
			if len(l) == 0 {
				continue
			}
			m := l[rand.IntN(len(l))]
			w.Go(func() { e.askForSign(m) })
		}
		w.Wait()
	}
}

// askForSign calls an instance over a connection of its own: one that was kept
// since before a cut may stay silent after it.
func (e *Entry) askForSign(m cowslipcontrol.Member) {
	k := &cowslippeer.Client{Addr: m.Addr, Dial: e.o.Dial}
	defer k.Close()
	e.followPeer(k, m, 0)
}
