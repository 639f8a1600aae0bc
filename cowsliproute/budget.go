package cowsliproute

import (
	"math"
	"sync"
	"time"
)

// defaultBurst is the number of retries that may be saved up where no allowance
// is set.
const defaultBurst = 10

// Budget bounds retries and hedges to a share of the requests needed, and to an
// allowance that accrues with time. The zero value allows none until it earns.
// It is safe for concurrent use.
type Budget struct {
	mu         sync.Mutex
	tokens     float64
	burst      float64
	rate       float64 // a second
	refilledAt time.Time
}

// SetAllowance sets how many retries may be saved up, and how many accrue each
// second without any request. No more than both, over the burst and the time,
// are spent beyond what is earned.
func (b *Budget) SetAllowance(burst, perSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.burst, b.rate = burst, perSecond
	b.tokens = min(b.tokens, b.limit())
}

// limit is at least one retry, since fractions cannot be spent.
func (b *Budget) limit() float64 {
	if b.burst > 0 {
		return max(b.burst, 1)
	}
	return defaultBurst
}

// Earn adds the allowance of one request needed at the given share, 0 to 1.
func (b *Budget) Earn(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+share, b.limit())
}

// Spend takes the allowance for one retry or hedge at now and tells whether
// there was enough.
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

// roundingSlack is what the sum of many shares may lack of a whole retry.
const roundingSlack = 1e-9

// Refund gives back an allowance that was not used.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens++
}
