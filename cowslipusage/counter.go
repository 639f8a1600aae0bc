package cowslipusage

import (
	"sync"
	"time"
)

// Constants of a Counter.
const (
	defaultWindow = 5 * time.Second
	// retention is how long the counts of a window are kept after its end. It is longer
	// than maxReportAge, so that a new holder gets all counts that it may still report.
	retention = 70 * time.Second
	// maxUncorrected is how long counts wait for the first correction of the process's
	// time. Without one, as when no holder can be reached, its own time is used.
	maxUncorrected = 5 * time.Second
	// uncorrectedStep is the precision of the times of counts that wait for it.
	uncorrectedStep = 100 * time.Millisecond
)

// Counter counts the requests of one process by window and workspace. Window must be set
// before the first use, if the length of a window is not 5 s. The zero value is ready to
// use; a Counter is safe for concurrent use.
type Counter struct {
	Window time.Duration

	mu          sync.Mutex
	correction  time.Duration
	corrected   bool
	uncorrected map[time.Time]Counts // by the process's own time, until the first correction
	windows     map[int64]*counterWindow
	changes     uint64 // number of changes so far
	delivered   uint64 // changes up to this one are known to the holder
}

type counterWindow struct {
	counts  Counts
	changed uint64 // number of the last change
}

// Began counts a request that a target began to run at a time, which is the process's own
// time without correction.
func (c *Counter) Began(at time.Time, workspace string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.corrected {
		c.add(at.Add(c.correction), workspace, 1)
		return
	}
	if c.uncorrected == nil {
		c.uncorrected = map[time.Time]Counts{}
	}
	t := at.Truncate(uncorrectedStep)
	if c.uncorrected[t] == nil {
		c.uncorrected[t] = Counts{}
	}
	c.uncorrected[t][workspace]++
}

func (c *Counter) add(at time.Time, workspace string, n uint64) {
	k := WindowAt(at, c.length())
	if c.windows == nil {
		c.windows = map[int64]*counterWindow{}
	}
	w := c.windows[k]
	if w == nil {
		w = &counterWindow{counts: Counts{}}
		c.windows[k] = w
	}
	c.changes++
	w.counts[workspace] += n
	w.changed = c.changes
}

func (c *Counter) length() time.Duration {
	if c.Window == 0 {
		return defaultWindow
	}
	return c.Window
}

// Correct sets the correction to be added to the process's own time. Requests that were
// counted before keep their window, except those that waited for the first correction.
func (c *Counter) Correct(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.correction = d
	c.settle()
}

// settle counts the requests that have waited for a correction.
func (c *Counter) settle() {
	c.corrected = true
	for t, l := range c.uncorrected {
		for w, n := range l {
			c.add(t.Add(c.correction), w, n)
		}
	}
	c.uncorrected = nil
}

// Correction returns the correction in force, and whether one was ever set.
func (c *Counter) Correction() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.correction, c.corrected
}

// Report returns the counts of the windows that have changed since those that the holder
// is known to have, and the number to pass to Delivered once it has these. Now is the
// process's own time.
func (c *Counter) Report(now time.Time) (map[int64]Counts, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for t := range c.uncorrected {
		if now.Sub(t) > maxUncorrected {
			c.settle()
			break
		}
	}
	oldest := WindowAt(now.Add(c.correction-retention), c.length())
	l := map[int64]Counts{}
	for k, w := range c.windows {
		switch {
		case k < oldest:
			delete(c.windows, k)
		case w.changed > c.delivered:
			l[k] = w.counts.Clone()
		}
	}
	return l, c.changes
}

// Delivered states that the holder has the counts that Report returned with a number.
func (c *Counter) Delivered(number uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered = max(c.delivered, number)
}

// HolderChanged makes the next Report return all windows.
func (c *Counter) HolderChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delivered = 0
}

// Windows returns the counts of all windows that are kept.
func (c *Counter) Windows() map[int64]Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := map[int64]Counts{}
	for k, w := range c.windows {
		l[k] = w.counts.Clone()
	}
	return l
}
