package cowslipevent

import (
	"cmp"
	"slices"
	"sync"

	"k8s.io/utils/clock"
)

// Stamp orders events over all processes. Wall is in nanoseconds since 1970;
// Logical separates events of one nanosecond.
type Stamp struct {
	Wall    int64  `json:"wallNanos"`
	Logical uint32 `json:"logical"`
}

// Compare gives -1, 0 or 1.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Logical, o.Logical))
}

// Event is one entry of the time line.
type Event struct {
	Stamp    Stamp  `json:"stamp"`
	Instance string `json:"instance"`
	Kind     string `json:"kind"`
	Subject  string `json:"subject"`
	Detail   string `json:"detail"`
}

// DefaultCapacity is the number of events that a ring of no stated capacity
// keeps.
const DefaultCapacity = 2048

// Options configure a Ring. The zero value works.
type Options struct {
	Instance string      // who records
	Capacity int         // events kept, DefaultCapacity if 0
	Clock    clock.Clock // the real clock if nil
}

// Ring keeps the newest events of one process and its hybrid logical clock.
// It is safe for concurrent use.
type Ring struct {
	mu      sync.Mutex
	options Options
	last    Stamp
	events  []Event
	next    int
}

// New makes a ring.
func New(o Options) *Ring {
	if o.Capacity <= 0 {
		o.Capacity = DefaultCapacity
	}
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	return &Ring{options: o}
}

// Add records an event of this process now.
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

// Now advances the clock and returns it, to be sent with a message.
func (r *Ring) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.advance(Stamp{})
}

// Observe moves the clock past a stamp received with a message, so that what
// follows here sorts behind what came before there.
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

// Events returns the events kept, oldest first.
func (r *Ring) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(slices.Clone(r.events[r.next:]), r.events[:r.next]...)
}

// Merge sorts the events of several rings in causal order; ties go by
// instance.
func Merge(rings ...[]Event) []Event {
	m := slices.Concat(rings...)
	slices.SortStableFunc(m, func(a, b Event) int {
		return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.Instance, b.Instance))
	})
	return m
}
