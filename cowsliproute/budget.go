package cowsliproute

import (
	"math"
	"sync"
	"time"
)

// defaultBurst is how many retries may accumulate if no allowance is set.
const defaultBurst = 10

// Budget is a token bucket that limits retries and hedges to a share of all other
// requests plus an allowance that accrues with time. The zero value allows none until
// Earn is called. It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	burst      float64
	rate       float64 // retries per second
	refilledAt time.Time
}

// SetAllowance sets how many retries may accumulate and how many accrue each second
// without any request. Beyond what Earn adds, at most burst plus perSecond times the
// elapsed seconds are spent.
func (b *Budget) SetAllowance(burst, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst, b.rate = burst, perSecond
	b.tokens = min(b.tokens, b.limit())
}

// limit returns how many retries may accumulate. It is at least one, since fractions
// cannot be spent.
func (b *Budget) limit() float64 {
	if b.burst > 0 {
		return max(b.burst, 1)
	}
	return defaultBurst
}

// Earn adds a share of a retry for one request that is neither a retry nor a hedge. The
// share is from 0 to 1.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, b.limit())
}

// Spend takes one retry or hedge from the budget at now. It reports whether enough was
// left.
func (b *Budget) Spend(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if d := now.Sub(b.refilledAt); d > 0 {
		if !b.refilledAt.IsZero() {
			b.tokens = min(b.tokens+b.rate*d.Seconds(), b.limit())
		}
		b.refilledAt = now
	}
	if b.tokens < 1-roundingSlack {
		return false
	}
	b.tokens = math.Max(b.tokens-1, 0)
	return true
}

// roundingSlack is how far the sum of many shares may fall short of a whole retry
// because of rounding.
const roundingSlack = 1e-9

// Refund gives the budget back a retry or hedge that was not sent, up to what may
// accumulate.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+1, b.limit())
}
