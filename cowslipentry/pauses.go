package cowslipentry

import (
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
)

// pauses notices when the process stood still, as it was stopped or its machine suspended. An
// answer that waited meanwhile is as old as the call. It is safe for concurrent use.
type pauses struct {
	now func() time.Time // goes on during pauses of any kind

	mu        sync.Mutex
	tickedAt  time.Time // zero before the first tick
	resumedAt time.Time // when the last pause ended, zero if there was none
}

// tick is called at each tick of the control loop. It returns the length of the pause that has
// ended since the last one, 0 if there was none.
func (p *pauses) tick() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, last := p.now(), p.tickedAt
	p.tickedAt = n
	if last.IsZero() || n.Sub(last) <= cowslipcontrol.ViewTTL {
		return 0
	}
	p.resumedAt = n
	return n.Sub(last)
}

// since reports whether the process has stood still since at, a time of now.
func (p *pauses) since(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.resumedAt.After(at) || !p.tickedAt.IsZero() && p.now().Sub(p.tickedAt) > cowslipcontrol.ViewTTL
}

// confirmedBy returns when the store confirmed what the answer to a call holds, given when the call
// began by the instance's clock and by that of the pauses.
func (e *Entry) confirmedBy(began, pausesBegan time.Time) time.Time {
	if e.pauses.since(pausesBegan) {
		return began
	}
	return e.clock.Now()
}
