package cowsliproute

import "time"

// monotonicBase is where steady counts from.
var monotonicBase = time.Now()

// monotonicNanos is a time in nanoseconds on the steady clock, which no step of the time
// of day moves.
func monotonicNanos(t time.Time) int64 { return int64(t.Sub(monotonicBase)) }
