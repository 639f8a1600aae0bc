package cowslipusage

import (
	"slices"
	"time"
)

// Constants of a Collector.
const (
	// offsetTTL is how long the time of a process counts towards the median after its
	// last report. Processes without requests report less often than that.
	offsetTTL = 30 * time.Second
	// offsetDrift is how fast an offset may fall, as a share of the time that passes. A
	// message that was delayed makes an offset too low, so that the highest one counts;
	// the rates of two clocks differ by much less.
	offsetDrift = 2e-4
	// maxAhead is how far ahead of the holder's time the counts of a process may be.
	maxAhead = time.Minute
)

// process identifies a run of an instance.
type process struct{ id, incarnation string }

// offset is how far the time of a process is ahead of that of the holder.
type offset struct {
	incarnation string
	ahead       time.Duration
	at          time.Time
}

// Collector holds the counts that processes have sent to the holder. Create it with
// NewCollector. It is not safe for concurrent use.
type Collector struct {
	length  time.Duration
	open    int64 // earlier windows are closed
	counts  map[process]map[int64]Counts
	offsets map[string]offset // by ID
	changed bool              // since the last call of Sums
}

// NewCollector returns a collector without counts.
func NewCollector(window time.Duration) *Collector {
	return &Collector{length: window, counts: map[process]map[int64]Counts{}, offsets: map[string]offset{}}
}

// Add merges a report that arrived at now, the holder's own time. Each count only grows,
// so that reports may be repeated, lost and reordered.
func (c *Collector) Add(now time.Time, r Report) {
	o := offset{incarnation: r.Incarnation, ahead: r.Now.Sub(now), at: now}
	if b, ok := c.offsets[r.ID]; ok && b.incarnation == r.Incarnation {
		o.ahead = max(o.ahead, b.ahead-time.Duration(offsetDrift*float64(now.Sub(b.at))))
	}
	c.offsets[r.ID] = o
	last := WindowAt(now.Add(maxAhead), c.length)
	for k, l := range r.Windows {
		if k <= last {
			c.merge(process{r.ID, r.Incarnation}, k, l)
		}
	}
}

func (c *Collector) merge(p process, window int64, l Counts) {
	if window < c.open || len(l) == 0 {
		return
	}
	if c.counts[p] == nil {
		c.counts[p] = map[int64]Counts{}
	}
	m := c.counts[p][window]
	if m == nil {
		m = Counts{}
		c.counts[p][window] = m
	}
	for w, n := range l {
		if n > m[w] {
			m[w] = n
			c.changed = true
		}
	}
}

// Heard returns the number of instances whose time is known.
func (c *Collector) Heard(now time.Time) int { return len(c.recent(now)) }

func (c *Collector) recent(now time.Time) []time.Duration {
	var l []time.Duration
	for id, o := range c.offsets {
		if now.Sub(o.at) > offsetTTL {
			delete(c.offsets, id)
			continue
		}
		l = append(l, o.ahead)
	}
	return l
}

// Correction returns what the holder has to add to its own time to get the median of the
// times of all instances. It returns 0 if no time is known.
func (c *Collector) Correction(now time.Time) time.Duration {
	l := c.recent(now)
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return (l[(len(l)-1)/2] + l[len(l)/2]) / 2
}

// CorrectionFor returns what an instance has to add to its own time, given the correction
// of the holder's time.
func (c *Collector) CorrectionFor(id string, own time.Duration) time.Duration {
	return own - c.offsets[id].ahead
}

// Totals returns the counts of a window, summed over all processes.
func (c *Collector) Totals(window int64) Counts {
	t := Counts{}
	for _, m := range c.counts {
		for w, n := range m[window] {
			t[w] += n
		}
	}
	return t
}

// Windows returns the counts of all open windows, summed over all processes.
func (c *Collector) Windows() map[int64]Counts {
	l := map[int64]Counts{}
	for _, m := range c.counts {
		for k := range m {
			if l[k] == nil {
				l[k] = c.Totals(k)
			}
		}
	}
	return l
}

// First returns the first window with counts, and whether there is one.
func (c *Collector) First() (int64, bool) {
	first, found := int64(0), false
	for _, m := range c.counts {
		for k := range m {
			if !found || k < first {
				first, found = k, true
			}
		}
	}
	return first, found
}

// Close drops the counts of all windows up to the given one, and ignores further ones.
func (c *Collector) Close(window int64) {
	c.open = max(c.open, window+1)
	for p, m := range c.counts {
		for k := range m {
			if k < c.open {
				delete(m, k)
			}
		}
		if len(m) == 0 {
			delete(c.counts, p)
		}
	}
}
