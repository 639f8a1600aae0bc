package cowsliproute

import "sync/atomic"

// Token amounts of a Budget, in thousandths of a retry.
const (
	tokenUnit  = 1000
	tokenBurst = 10 * tokenUnit
)

// Budget bounds retries and hedges to a share of the requests needed. The zero
// value allows none. It is safe for concurrent use.
type Budget struct {
	tokens atomic.Int64
}

// Earn adds the allowance of one request needed at the given share, 0 to 1.
func (b *Budget) Earn(share float64) {
	if b.tokens.Add(int64(share*tokenUnit)) > tokenBurst {
		b.tokens.Store(tokenBurst)
	}
}

// Spend takes the allowance for one retry or hedge and tells whether there was
// enough.
func (b *Budget) Spend() bool {
	for {
		t := b.tokens.Load()
		if t < tokenUnit {
			return false
		}
		if b.tokens.CompareAndSwap(t, t-tokenUnit) {
			return true
		}
	}
}

// Refund gives back an allowance that was not used.
func (b *Budget) Refund() { b.tokens.Add(tokenUnit) }
