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
	minResults = 8
	// maxWindowAge is the age at which a window is dropped, as after a pause of the process.
	maxWindowAge = time.Second
	// freshReportAge is the age up to which a report counts in full.
	freshReportAge = 50 * time.Millisecond
	// usualQueue and usualShed are the queue per slot and the share of parts shed that each
	// count as a pressure of 1.
	usualQueue = 0.18
	usualShed  = 0.015
	// singleLate is what tolerableLate is while targets have free slots.
	singleLate = 0.9
	// Sheds count in full if busyShare of the reports come from targets with no free slot, and
	// not at all up to singleShed if idleShare or less do: then a few slow targets shed, and
	// others have room.
	idleShare  = 0.4
	busyShare  = 0.6
	singleShed = 0.2
	// tolerableLate is the share of late answers that is no sign of overload, since single
	// slow targets cause as many. lateWeight is the pressure if all answers are late.
	tolerableLate = 0.5
	lateWeight    = 4
	// maxPressure bounds the pressure of one window.
	maxPressure = 16
)

// window collects the evidence of one span of time, and what is left of the spans before.
type window struct {
	start        time.Time
	filled       bool // evidence was added in this span
	queues       queues
	parts, shed  float64
	inTime, late float64
}

// next begins a new span at now.
func (w *window) next(now time.Time) {
	kept := math.Pow(keptShare, float64(now.Sub(w.start))/float64(windowLength))
	w.start, w.filled = now, false
	w.queues.scale(min(kept, keptSamples/max(w.queues.weight, 1)))
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
func (w *window) report(running, waiting, slots int, age time.Duration) {
	if slots <= 0 || waiting < 0 || running < 0 {
		return
	}
	w.filled = true
	weight := 1.0
	if age > freshReportAge {
		weight = float64(freshReportAge) / float64(age)
	}
	w.queues.add(running, waiting, slots, weight)
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
	p := w.queues.usual() * min(w.queues.weight/minSamples, 1) / usualQueue
	busy := w.busy()
	if w.parts > 0 {
		s := w.shed / max(w.parts, minParts)
		p += (s*busy + max(s-singleShed, 0)*(1-busy)) / usualShed
	}
	if n := w.inTime + w.late; n > 0 {
		tolerable := singleLate - (singleLate-tolerableLate)*busy
		p += max(w.late/max(n, minResults)-tolerable, 0) / (1 - tolerable) * lateWeight
	}
	return min(p, maxPressure)
}

// busy returns how far sheds and late answers count: from 0, while most targets have free
// slots, to 1. Targets that shed more than they report to be busy report falsely; what they
// shed then counts in full.
func (w *window) busy() float64 {
	b := w.queues.busyShare()
	if w.shed > b*w.parts {
		return 1
	}
	return min(max((b-idleShare)/(busyShare-idleShare), 0), 1)
}
