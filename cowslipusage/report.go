package cowslipusage

import (
	"maps"
	"time"
)

// Counts are numbers of requests by name of the workspace.
type Counts map[string]uint64

// Clone returns a copy of the counts.
func (c Counts) Clone() Counts { return maps.Clone(c) }

// Report is what one process tells the holder. The counts are cumulative over the process.
type Report struct {
	ID          string
	Incarnation string
	Now         time.Time // the process's own time, without correction
	Windows     map[int64]Counts
}

// WindowAt returns the number of the window that a time belongs to. Window k begins k
// times length after the start of 1970.
func WindowAt(t time.Time, length time.Duration) int64 {
	l, m := length.Microseconds(), t.UnixMicro()
	k := m / l
	if m%l < 0 {
		k--
	}
	return k
}

// WindowEnd returns the time at which a window ends.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.UnixMicro((window + 1) * length.Microseconds())
}
