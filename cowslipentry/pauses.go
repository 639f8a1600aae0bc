package cowslipentry

import (
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
)

// pauses notices when the process stood still, as it was stopped or its machine suspended. An
// answer that waited meanwhile is as old as the call. It is safe for concurrent use.
type pauses struct {
	elapsed func() time.Time // goes on during pauses of any kind

	mu        sync.Mutex
	tickedAt  time.Time // by elapsed; zero before the first tick
	resumedAt time.Time // when the last pause ended, by the instance's clock; zero if there was none
}

// tick is called at each tick of the control loop, with the time by the instance's clock. It
// returns the length of the pause that has ended since the last one, 0 if there was none.
func (p *pauses) tick(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, last := p.elapsed(), p.tickedAt
	p.tickedAt = n
	if last.IsZero() || n.Sub(last) <= cowslipcontrol.ViewTTL {
		return 0
	}
	p.resumedAt = now
	return n.Sub(last)
}

// since reports whether the process has stood still since at, a time by the instance's clock.
func (p *pauses) since(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumedAt.After(at) || !p.tickedAt.IsZero() && p.elapsed().Sub(p.tickedAt) > cowslipcontrol.ViewTTL
}

// confirmedBy returns when the store confirmed what the answer to a call holds that began at the
// given time.
func (e *Entry) confirmedBy(began time.Time) time.Time {
	if e.pauses.since(began) {
		return began
	}
	return e.clock.Now()
}
