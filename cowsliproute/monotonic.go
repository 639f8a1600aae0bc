package cowsliproute

import "time"

// monotonicBase is the time from which monotonicNanos counts.
var monotonicBase = time.Now()

// monotonicNanos returns t in nanoseconds on the monotonic clock, which is not affected
// by changes of the wall clock.
func monotonicNanos(t time.Time) int64 { return int64(t.Sub(monotonicBase)) }
