package cowsliproute_test

import (
	"testing"
	"time"

	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// A hedge that found no free slot is refunded. Requests that end meanwhile may have filled
// the budget again, which must not hold more than may accumulate.
func TestRefundKeepsTheLimit(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	b := &cowsliproute.Budget{}
	b.SetAllowance(3, 0)
	fill := func() {
		for range 10 {
			b.Earn(1)
		}
	}
	fill()
	require.True(t, b.Spend(now))
	fill()
	b.Refund()
	spent := 0
	for b.Spend(now) {
		spent++
	}
	require.Equal(t, 3, spent)
}
