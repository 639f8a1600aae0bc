package cowslipentry

import (
	"sync/atomic"
	"time"
)

// lagSampleDivisor is the share of a new sample in the mean lag: 1/4.
const lagSampleDivisor = 4

// lag is how late this instance is with answers that it closes at a set time: an
// instance short of processor closes them earlier by as much. Its zero value is
// no lag. It is safe for concurrent use.
type lag struct{ nanos atomic.Int64 }

// observe takes in how late an answer was.
func (l *lag) observe(d time.Duration) {
	o := l.nanos.Load()
	l.nanos.Store(o + (int64(d)-o)/lagSampleDivisor)
}

// average is the mean lag, most at most.
func (l *lag) average(most time.Duration) time.Duration {
	return min(time.Duration(l.nanos.Load()), most)
}
