package cowsliproute

import (
	"sync"
	"time"
)

// Constants of the adaptive admission limit; rates are in queries a second.
const (
	initialRate        = 50
	minRate            = 0.5
	maxRate            = 100000
	rateDecreaseFactor = 0.8
	rateIncreaseFactor = 1.05
	decreaseInterval   = 200 * time.Millisecond
	increaseInterval   = 200 * time.Millisecond
	admissionBurst     = 4 // queries that may be saved up at most
	// burstWindow is the time over which queries are saved up, so that a pause of the
	// callers or of the process is not followed by more at once than targets queue.
	burstWindow    = 200 * time.Millisecond
	minBurst       = 2 // leaves a reserve for the higher priorities
	priorityLevels = 10
)

// Limiter admits queries at a rate that adapts: up while answers come without
// refusal and the rate is in use, down when targets shed or report queues. Its
// zero value admits at the initial rate. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	changedAt  time.Time
	refused    bool
	disabled   bool
}

// Disable admits everything from now on; a baseline for measurements.
func (l *Limiter) Disable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disabled = true
}

// Admit tells whether a query of this priority, 0 to 9, may start at now. A
// lower priority leaves room for the higher ones.
func (l *Limiter) Admit(now time.Time, priority int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.disabled {
		return true
	}
	l.refill(now)
	reserve := float64(priorityLevels-1-priority) / priorityLevels * l.burst() / 2
	if l.tokens < 1+reserve {
		l.refused = true
		return false
	}
	l.tokens--
	return true
}

// RecordOverload notes that targets shed a request or report a queue.
func (l *Limiter) RecordOverload(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if now.Sub(l.changedAt) < decreaseInterval {
		return
	}
	l.rate = max(l.rate*rateDecreaseFactor, minRate)
	l.changedAt = now
}

// RecordAnswer notes an answer without any refusal by a target.
func (l *Limiter) RecordAnswer(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refused || now.Sub(l.changedAt) < increaseInterval {
		return
	}
	l.refill(now)
	l.rate = min(l.rate*rateIncreaseFactor, maxRate)
	l.changedAt = now
	l.refused = false
}

// Rate is the queries a second admitted now.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate
}

// burst is how many queries may be saved up.
func (l *Limiter) burst() float64 {
	return min(max(l.rate*burstWindow.Seconds(), minBurst), admissionBurst)
}

func (l *Limiter) refill(now time.Time) {
	if l.rate == 0 {
		l.rate = initialRate
		l.tokens = admissionBurst
		l.refilledAt = now
	}
	if d := now.Sub(l.refilledAt); d > 0 {
		l.tokens = min(l.tokens+l.rate*d.Seconds(), l.burst())
		l.refilledAt = now
	}
}
