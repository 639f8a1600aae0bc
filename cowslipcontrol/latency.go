package cowslipcontrol

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// latencyRecorder records latencies in the current and the previous window. The zero value is
// empty. A recorder that gets no samples for two windows holds no memory.
type latencyRecorder struct {
	current, previous latencySamples
}

func (l *latencyRecorder) add(d time.Duration) { l.current.add(d) }

func (l *latencyRecorder) rotate() {
	l.current, l.previous = l.previous, l.current
	l.current.clear()
}

// percentile returns percentile p of the previous window, or of the current window if
// the previous one has too few samples. It returns 0 if both have too few.
func (l *latencyRecorder) percentile(p float64) time.Duration {
	if d := l.previous.percentile(p); d > 0 {
		return d
	}
	return l.current.percentile(p)
}

// latencySamples holds the latencies of a window, in microseconds. The first ones are kept as
// they are. A histogram, 20 KB in size, is allocated only once there are enough of them for a
// percentile, since the number of routes is not bounded, but that of requests is.
type latencySamples struct {
	few       []uint32
	histogram *hdrhistogram.Histogram
}

func (s *latencySamples) add(d time.Duration) {
	n := min(max(d, time.Microsecond), maxLatency).Microseconds()
	if s.histogram == nil {
		if s.few = append(s.few, uint32(n)); len(s.few) < minHedgeSamples {
			return
		}
		s.histogram = hdrhistogram.New(1, maxLatency.Microseconds(), 2)
		for _, x := range s.few {
			s.record(int64(x))
		}
		s.few = nil
		return
	}
	s.record(n)
}

func (s *latencySamples) record(micros int64) {
	// The value is within the range of the histogram, so recording cannot fail.
	_ = s.histogram.RecordValue(micros)
}

// clear removes the samples. The histogram is kept for the next window if this one used it.
func (s *latencySamples) clear() {
	s.few = nil
	if s.histogram == nil {
		return
	}
	if s.histogram.TotalCount() < minHedgeSamples {
		s.histogram = nil
		return
	}
	s.histogram.Reset()
}

// percentile returns percentile p, and 0 if there are too few samples.
func (s *latencySamples) percentile(p float64) time.Duration {
	if s.histogram == nil || s.histogram.TotalCount() < minHedgeSamples {
		return 0
	}
	return time.Duration(s.histogram.ValueAtQuantile(p)) * time.Microsecond
}
