package cowslipcapacity_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipcapacity"

	"github.com/stretchr/testify/require"
)

var t0 = time.Unix(1_800_000_000, 0)

// observe feeds samples, ten a second for the given time, of a target whose latency depends on
// the load, which varies between 0 and slots.
func observe(e *cowslipcapacity.Estimator, from time.Time, d time.Duration, slots int, latency func(load int) float64) time.Time {
	r := rand.New(rand.NewPCG(1, 2))
	for at := from; at.Before(from.Add(d)); at = at.Add(100 * time.Millisecond) {
		n := r.IntN(slots + 1)
		e.Observe(cowslipcapacity.Sample{At: at, Latency: latency(n), Load: n, Slots: slots, Slowdown: 1})
	}
	return from.Add(d)
}

// Guards against a limit of a target that slows down before its slots are in use, against one
// that is lowered without a reason, and against one that stays after the target has recovered.
func TestLimitFollowsTheLatencyByLoad(t *testing.T) {
	var e cowslipcapacity.Estimator
	flat := func(int) float64 { return 1 }
	at := observe(&e, t0, 10*time.Second, 6, flat)
	require.Equal(t, 6, e.Limit())
	at = observe(&e, at, 25*time.Second, 6, func(load int) float64 {
		if load >= 3 {
			return 3
		}
		return 1
	})
	require.Equal(t, 3, e.Limit())
	observe(&e, at, 40*time.Second, 6, flat)
	require.Equal(t, 6, e.Limit())
}

// Guards against a limit that swings with noise between the two thresholds.
func TestLimitStaysBetweenTheThresholds(t *testing.T) {
	var e cowslipcapacity.Estimator
	at := observe(&e, t0, 10*time.Second, 4, func(int) float64 { return 1 })
	r := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		at = observe(&e, at, 200*time.Millisecond, 4, func(load int) float64 {
			if load >= 2 {
				return 1.35 + 0.2*r.Float64()
			}
			return 1
		})
		require.Equal(t, 4, e.Limit())
	}
}

// Guards against neighbors on the target's machine that count as its own speed.
func TestSlowdownIsNotTheTargetsSpeed(t *testing.T) {
	var e cowslipcapacity.Estimator
	for i := range 100 {
		s := cowslipcapacity.Sample{At: t0.Add(time.Duration(i) * 50 * time.Millisecond), Latency: 1, Slots: 2, Slowdown: 1}
		if i%3 == 0 {
			s.Latency, s.Slowdown = 2.5, 2.5
		}
		e.Observe(s)
	}
	require.InDelta(t, 1, e.Latency(), 0.01)
}

// Guards against samples that are out of range, as a target that reports false figures causes.
func TestOddSamplesAreIgnored(t *testing.T) {
	var e cowslipcapacity.Estimator
	for _, s := range []cowslipcapacity.Sample{{Latency: math.NaN(), Slots: 2}, {Latency: -1, Slots: 2}, {Slots: 2}, {Latency: 1}, {Latency: 1, Load: -3, Slots: 2}} {
		s.At = t0
		for range 10 {
			e.Observe(s)
		}
	}
	require.Zero(t, e.Weight(t0))
	require.Zero(t, e.Latency())
}
