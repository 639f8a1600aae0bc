package cowslipcontrol

import (
	"fmt"
	"slices"
	"time"

	"cowslipflow/cowslipplatform"
)

// SharedClearing tells other instances that targets of a service have answered a request under
// which targets of that service had crashed.
type SharedClearing struct {
	Fingerprint uint64                   `json:"fingerprint,string"`
	Family      uint64                   `json:"family,string,omitempty"`
	Copies      uint64                   `json:"copies,string,omitempty"`
	Content     uint64                   `json:"content,string,omitempty"`
	Service     string                   `json:"service"`
	Revision    cowslipplatform.Revision `json:"-"` // of the store, grows each time the request is cleared
}

// subjects returns the fingerprints of all that the answer clears.
func (x SharedClearing) subjects() []uint64 {
	return slices.DeleteFunc([]uint64{x.Fingerprint, x.Family, x.Copies, x.Content}, func(f uint64) bool { return f == 0 })
}

// clearingKey identifies what a SharedClearing is about.
type clearingKey struct {
	fingerprint uint64
	service     string
}

// UpdateClearings replaces the clearings that the store holds. A new one dismisses the crashes
// known so far, also those that this instance has seen itself. It must be called before
// UpdateSharedCrashes, so that crashes that become known together with it still count, except
// those that the store had accepted earlier. One that the store holds at the start dismisses
// nothing else.
func (c *Control) UpdateClearings(now time.Time, l []SharedClearing) {
	known := c.clearings
	c.clearings = make(map[clearingKey]cowslipplatform.Revision, len(l))
	c.clearedUpTo = make(map[clearingKey]cowslipplatform.Revision, len(l))
	for _, x := range l {
		for _, f := range x.subjects() {
			k := clearingKey{f, x.Service}
			if x.Revision.After(c.clearedUpTo[k]) {
				c.clearedUpTo[k] = x.Revision
			}
		}
		k := clearingKey{x.Fingerprint, x.Service}
		c.clearings[k] = x.Revision
		if known == nil || !x.Revision.After(known[k]) {
			continue
		}
		n := len(c.crashes)
		before := now.Add(-time.Nanosecond)
		for _, f := range x.subjects() {
			c.ClearSuspect(before, f, x.Service)
		}
		if len(c.crashes) != n {
			c.o.Event("requestCleared", fmt.Sprintf("%016x", x.Fingerprint), "another instance has answers of service "+x.Service)
		}
	}
}

// uncleared returns what a crash in the store still says after the clearings that the store has
// accepted since, and reports whether it says anything.
func (c *Control) uncleared(s SharedCrash) (SharedCrash, bool) {
	since := func(f uint64) bool {
		return !s.Revision.IsZero() && c.clearedUpTo[clearingKey{f, s.Service}].After(s.Revision)
	}
	return s.Without(since), !since(s.Fingerprint)
}
