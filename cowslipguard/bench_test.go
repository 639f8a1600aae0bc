package cowslipguard_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipguard"
)

// BenchmarkPlan measures what each wide request costs an instance while calm and in an alert.
func BenchmarkPlan(b *testing.B) {
	shards := shardNames(135)
	for name, alert := range map[string]bool{"calm": false, "alert": true} {
		b.Run(name, func(b *testing.B) {
			var g cowslipguard.Guards
			if alert {
				g.Of(shards...).Loss(t0, cowslipguard.Loss{Request: 1})
			}
			for n := range b.N {
				g.Of(shards...).Plan(t0.Add(time.Second), uint64(n), shards, 0.95)
			}
		})
	}
}
