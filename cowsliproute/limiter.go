package cowsliproute

import (
	"sync"
	"time"
)

// Constants of the adaptive admission limit; rates are in queries a second.
const (
	initialRate    = 50
	minRate        = 0.5
	maxRate        = 100000
	rateDecrease   = 0.8
	rateIncrease   = 1.05
	decreasePause  = 200 * time.Millisecond
	increasePause  = 200 * time.Millisecond
	admissionBurst = 4 // queries that may be saved up at most
	// burstTime is the time over which queries are saved up, so that a pause of the
	// callers or of the process is not followed by more at once than targets queue.
	burstTime      = 200 * time.Millisecond
	minBurst       = 2 // leaves a reserve for the higher priorities
	priorityLevels = 10
)

// Limiter admits queries at a rate that adapts: up while answers come without
// refusal and the rate is in use, down when targets shed or report queues. Its
// zero value admits at the initial rate. It is safe for concurrent use.
type Limiter struct {
	mu       sync.Mutex
	rate     float64
	tokens   float64
	at       time.Time
	changed  time.Time
	refused  bool
	disabled bool
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

// Overloaded notes that targets shed a request or report a queue.
func (l *Limiter) Overloaded(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refill(now)
	if now.Sub(l.changed) < decreasePause {
		return
	}
	l.rate = max(l.rate*rateDecrease, minRate)
	l.changed = now
}

// Answered notes an answer without any refusal by a target.
func (l *Limiter) Answered(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.refused || now.Sub(l.changed) < increasePause {
		return
	}
	l.refill(now)
	l.rate = min(l.rate*rateIncrease, maxRate)
	l.changed = now
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
	return min(max(l.rate*burstTime.Seconds(), minBurst), admissionBurst)
}

func (l *Limiter) refill(now time.Time) {
	if l.rate == 0 {
		l.rate = initialRate
		l.tokens = admissionBurst
		l.at = now
	}
	if d := now.Sub(l.at); d > 0 {
		l.tokens = min(l.tokens+l.rate*d.Seconds(), l.burst())
		l.at = now
	}
}
