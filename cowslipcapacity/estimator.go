package cowslipcapacity

import (
	"math"
	"time"
)

// Parameters of an Estimator.
const (
	// halfLife is the time after which a sample counts half. It is several times the pauses
	// and the short slowdowns of targets, so that an estimate does not follow each of them.
	halfLife = 5 * time.Second
	// maxLevels is the number of loads that are told apart. Higher ones count as the highest.
	maxLevels = 16
	// minLevelWeight is the least weight of the samples at a load that count as evidence.
	minLevelWeight = 3
	// slowRatio and recoveredRatio bound the latency at a load relative to the one of an idle
	// target: above the first the load is too high, below the second it is not. Between the two
	// the limit stays as it is, so that it does not swing.
	slowRatio      = 1.6
	recoveredRatio = 1.3
	// maxSampleRatio limits the latency of one sample in multiples of the usual one, so that one
	// pause of a target does not outweigh its other answers.
	maxSampleRatio = 8
)

// Sample is one good answer of a target.
type Sample struct {
	At time.Time
	// Latency is that of the answer in multiples of its route's median, so that answers of
	// different routes can be compared.
	Latency float64
	// Load is the number of other requests that the target reports as running or queued.
	Load int
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// Slowdown is the target's own figure for the time that work takes at this moment, 1 if it
	// is usual, 0 if not stated.
	Slowdown float64
}

// level holds the samples at one load, with weights that decay with time.
type level struct {
	weight  float64
	latency float64 // sum of the logarithms of latencies, weighted
}

func (l level) mean() float64 { return math.Exp(l.latency / l.weight) }

// Estimator learns from the answers of one run of a target. The zero value is ready to use. It
// is not safe for concurrent use.
type Estimator struct {
	levels [maxLevels]level
	slots  int
	limit  int // last known limit, 0 before the first
	at     time.Time
}

// Observe adds a sample.
func (e *Estimator) Observe(s Sample) {
	if !(s.Latency > 0) || s.Load < 0 || s.Slots <= 0 {
		return
	}
	e.decay(s.At)
	e.slots = s.Slots
	x := min(s.Latency, maxSampleRatio)
	if s.Slowdown > 0 {
		// What a neighbor on the machine takes is not the target's own speed.
		x /= s.Slowdown
	}
	l := &e.levels[min(s.Load, maxLevels-1)]
	l.weight++
	l.latency += math.Log(x)
	e.updateLimit()
}

// Weight returns the number of samples that the estimate rests on, each decayed by its age.
func (e *Estimator) Weight(now time.Time) float64 {
	w := 0.0
	for _, l := range e.levels {
		w += l.weight
	}
	return w * decayFactor(now.Sub(e.at))
}

// Latency returns the mean latency of the target while it has a free slot, in multiples of the
// usual one, or 0 if too few samples tell.
func (e *Estimator) Latency() float64 {
	var sum level
	for _, l := range e.levels[:min(max(e.slots, 1), maxLevels)] {
		sum.weight += l.weight
		sum.latency += l.latency
	}
	if sum.weight < minLevelWeight {
		return 0
	}
	return sum.mean()
}

// Limit returns the number of requests in flight up to which the target does not slow down, at
// most its slots, or 0 if that is not known.
func (e *Estimator) Limit() int { return e.limit }

// At returns when the last sample was observed.
func (e *Estimator) At() time.Time { return e.at }

// updateLimit compares the latency at each load with that of an idle target.
func (e *Estimator) updateLimit() {
	idle := e.levels[0]
	if idle.weight < minLevelWeight {
		return
	}
	if e.limit == 0 || e.limit > e.slots {
		e.limit = e.slots
	}
	for n := 1; n < min(e.slots, maxLevels); n++ {
		l := e.levels[n]
		if l.weight < minLevelWeight {
			continue
		}
		switch r := l.mean() / idle.mean(); {
		case r > slowRatio:
			e.limit = min(e.limit, n)
			return
		case r < recoveredRatio && e.limit <= n:
			e.limit = n + 1
		}
	}
}

func (e *Estimator) decay(now time.Time) {
	if e.at.IsZero() || now.Before(e.at) {
		e.at = now
		return
	}
	f := decayFactor(now.Sub(e.at))
	e.at = now
	for i := range e.levels {
		e.levels[i].weight *= f
		e.levels[i].latency *= f
	}
}

// decayFactor returns the weight of a sample of the given age.
func decayFactor(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-float64(age) / float64(halfLife))
}
