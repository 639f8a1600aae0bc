package cowslipentry

import (
	"sync/atomic"
	"time"
)

// lagSampleDivisor gives each new sample a weight of 1/4 in the average lag.
const lagSampleDivisor = 4

// lag is a moving average of how late this instance closes answers with parts missing.
// An instance that is short of CPU closes them late, so it sets the time to close them
// earlier by the average. The zero value is no lag. It is safe for concurrent use.
type lag struct{ nanos atomic.Int64 }

// observe adds a sample: how late an answer was.
func (l *lag) observe(d time.Duration) {
	for {
		o := l.nanos.Load()
		if l.nanos.CompareAndSwap(o, o+(int64(d)-o)/lagSampleDivisor) {
			return
		}
	}
}

// average returns the average lag, or limit if that is less.
func (l *lag) average(limit time.Duration) time.Duration {
	return min(time.Duration(l.nanos.Load()), limit)
}
