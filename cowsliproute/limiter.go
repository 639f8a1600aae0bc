package cowsliproute

import (
	"sync"
	"time"
)

// Constants of the adaptive admission limit. Rates are in queries per second.
const (
	initialRate        = 50
	minRate            = 0.5
	maxRate            = 100000
	rateDecreaseFactor = 0.8
	rateIncreaseFactor = 1.05
	decreaseInterval   = 200 * time.Millisecond
	increaseInterval   = 200 * time.Millisecond
	admissionBurst     = 4 // maximum number of queries that may accumulate
	// burstWindow is the time over which queries accumulate. It is short, so that
	// after a pause of the callers or of the process no more queries are admitted
	// at once than the targets can queue.
	burstWindow    = 200 * time.Millisecond
	minBurst       = 2 // leaves a reserve for higher priorities
	priorityLevels = 10
)

// Limiter admits queries at an adaptive rate. The rate rises while queries reach it and
// targets answer without shedding, and falls when targets shed requests or report
// queues. The zero value admits at the initial rate. It is safe for concurrent use.
type Limiter struct {
	mu         sync.Mutex
	rate       float64
	tokens     float64
	refilledAt time.Time
	changedAt  time.Time
	refused    bool
	disabled   bool
}

// Disable makes the limiter admit every query, as a baseline for measurements.
func (l *Limiter) Disable() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.disabled = true
}

// Admit reports whether a query of this priority, 0 to 9, may start at now. Lower
// priorities leave a reserve for higher ones.
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

// RecordOverload records that targets shed a request or report a queue.
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

// RecordAnswer records an answer for which no target shed a request.
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

// Rate returns the current limit in queries per second.
func (l *Limiter) Rate() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rate
}

// burst returns how many queries may accumulate.
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
