package cowslipevent

import (
	"cmp"
	"slices"
	"sync"

	"k8s.io/utils/clock"
)

// Stamp is a reading of a hybrid logical clock. It orders events across processes.
// Wall is in nanoseconds since 1970; Logical orders the stamps of the same
// nanosecond.
type Stamp struct {
	Wall    int64  `json:"wallNanos"`
	Logical uint32 `json:"logical"`
}

// Compare returns -1 if s is before o, 0 if they are equal, and 1 if s is after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Event is one entry of the timeline.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Subject  string `json:"subject"`
	Detail   string `json:"detail"`
}

// DefaultCapacity is the number of events that a Ring keeps if Options sets no
// capacity.
const DefaultCapacity = 2048

// Options configures a Ring. The zero value is usable.
type Options struct {
	Instance string      // the instance that records the events
	Capacity int         // number of events kept, DefaultCapacity if 0
	Clock    clock.Clock // the real clock if nil
}

// Ring is a ring buffer of the newest events of one process. It also holds the
// process's hybrid logical clock. It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	options Options
	last    Stamp
	events  []Event
	next    int
}

// New returns an empty Ring.
func New(o Options) *Ring {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	return &Ring{options: o}
}

// Add records an event of this process at the current time.
func (r *Ring) Add(kind, subject, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := Event{Stamp: r.advance(Stamp{}), Instance: r.options.Instance, Kind: kind, Subject: subject, Detail: detail}
	if len(r.events) < r.options.Capacity {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % r.options.Capacity
}

// Now advances the clock and returns its reading, to be sent with a message.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(Stamp{})
}

// Observe advances the clock past a stamp received with a message, so that events
// recorded here from now on sort after those that the sender recorded before it sent
// the message.
func (r *Ring) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(s)
}

func (r *Ring) advance(seen Stamp) Stamp {
	n := Stamp{Wall: r.options.Clock.Now().UnixNano()}
	for _, p := range []Stamp{r.last, seen} {
		if n.Compare(p) <= 0 {
			n = Stamp{Wall: p.Wall, Logical: p.Logical + 1}
		}
	}
	r.last = n
	return n
}

// Events returns the events in the ring, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.events[r.next:]), r.events[:r.next]...)
}

// Merge merges the events of several rings in causal order. Events with equal
// stamps are ordered by instance.
func Merge(rings ...[]Event) []Event {
	m := slices.Concat(rings...)
	slices.SortStableFunc(m, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Instance, b.Instance))
	})
	return m
}
