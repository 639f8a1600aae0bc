package cowslipadmission

import (
	"math"
	"time"
)

// Constants of the evidence of overload.
const (
	windowLength = 100 * time.Millisecond
	// keptShare is the part of the evidence that the next window keeps, since a window of an
	// instance with few requests holds little. It keeps no more than keptSamples samples, so
	// that an overload that is over does not outweigh newer evidence.
	keptShare   = 0.8
	keptSamples = 20
	// minSamples is the number of samples from which evidence counts in full.
	minSamples = 4
	minParts   = 20
	// maxWindowAge is the age at which a window is dropped, as after a pause of the process.
	maxWindowAge = time.Second
	// freshReportAge is the age up to which a report counts in full.
	freshReportAge = 50 * time.Millisecond
	// maxQueueFactor bounds the queue that a target may report, in multiples of its slots.
	maxQueueFactor = 10
	// usualQueue and usualShed are the queue per slot and the share of parts shed that each
	// count as a pressure of 1.
	usualQueue = 0.55
	usualShed  = 0.015
	// tolerableLate is the share of late answers that is no sign of overload, since single
	// slow targets cause as many. lateWeight is the pressure if all answers are late.
	tolerableLate = 0.5
	lateWeight    = 4
	// maxPressure bounds the pressure of one window.
	maxPressure = 16
)

// window collects the evidence of one span of time, and what is left of the spans before.
type window struct {
	start          time.Time
	filled         bool    // evidence was added in this span
	queue, reports float64 // sum of the queues per slot, and of their weights
	parts, shed    float64
	inTime, late   float64
}

// next begins a new span at now.
func (w *window) next(now time.Time) {
	kept := math.Pow(keptShare, float64(now.Sub(w.start))/float64(windowLength))
	w.start, w.filled = now, false
	scale(kept, w.reports, &w.queue, &w.reports)
	scale(kept, w.parts, &w.parts, &w.shed)
	scale(kept, w.inTime+w.late, &w.inTime, &w.late)
}

// scale reduces sums that count n samples to the share kept, and to keptSamples.
func scale(kept, n float64, sums ...*float64) {
	for _, p := range sums {
		*p *= min(kept, keptSamples/max(n, 1))
	}
}

// report adds the load that a target reported.
func (w *window) report(waiting, slots int, age time.Duration) {
	if slots <= 0 || waiting < 0 {
		return
	}
	w.filled = true
	weight := 1.0
	if age > freshReportAge {
		weight = float64(freshReportAge) / float64(age)
	}
	w.queue += weight * math.Min(float64(waiting)/float64(slots), maxQueueFactor)
	w.reports += weight
}

// end adds the result of a request.
func (w *window) end(r Result) {
	w.filled = true
	w.parts += float64(r.Parts + r.Waited)
	w.shed += float64(r.Shed + r.Waited)
	if r.InTime {
		w.inTime++
	} else {
		w.late++
	}
}

// pressure returns how far the evidence speaks for overload. At 1 targets are busy, but not
// overloaded.
func (w *window) pressure() float64 {
	p := 0.0
	if w.reports > 0 {
		p += w.queue / max(w.reports, minSamples) / usualQueue
	}
	if w.parts > 0 {
		p += w.shed / max(w.parts, minParts) / usualShed
	}
	if n := w.inTime + w.late; n > 0 {
		p += max(w.late/n-tolerableLate, 0) / (1 - tolerableLate) * lateWeight
	}
	return min(p, maxPressure)
}
