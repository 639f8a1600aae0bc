package cowslipmirror

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"cowslipflow/cowslipplatform"
)

// Retention states how long what was known of a key before the store came back from an older
// copy stays in force. Its writer was told that the store had accepted it, and writes it again.
// A value that was written since the store came back always applies at once.
type Retention struct {
	Lost     time.Duration // of a value that the copy lacks
	Older    time.Duration // of a value, where the copy has another one
	Returned time.Duration // of the removal of a key that the copy has
	// Newer, if not nil, reports whether a value of the copy is certainly newer than the known one.
	Newer func(known, stored []byte) bool
	// Version, if not nil, returns the number that orders the values of the key through all
	// eras, and false if a value has none. A value never gives way to one with a lower number.
	Version func(data []byte) (uint64, bool)
}

// Retainer retains values of other writers after the store has come back from an older copy.
// The zero value retains nothing. It is not safe for concurrent use.
type Retainer struct {
	// Of returns the retention of a key, and false if its values are always those of the store.
	Of func(key string) (Retention, bool)

	inForce []cowslipplatform.Value          // what Values returned last
	known   map[string]cowslipplatform.Value // of the era before, nil if nothing of it may apply any longer
	settled map[string]bool                  // keys of which a value of the present era applies
	from    cowslipplatform.Revision         // of the first content of the present era
	began   time.Time
	due     time.Time // when the next retention ends, zero if none does
}

// Begin handles the first content of a new era, up to the given revision.
func (r *Retainer) Begin(now time.Time, from cowslipplatform.Revision) {
	r.from, r.began, r.settled = from, now, map[string]bool{}
	r.known = make(map[string]cowslipplatform.Value, len(r.inForce))
	for _, v := range r.inForce {
		r.known[v.Key] = v
	}
}

// Due reports whether a retention has ended since Values was last called.
func (r *Retainer) Due(now time.Time) bool { return !r.due.IsZero() && !now.Before(r.due) }

// Values returns the values that apply, sorted by key, given those in the store.
func (r *Retainer) Values(now time.Time, stored []cowslipplatform.Value) []cowslipplatform.Value {
	r.inForce = stored
	if r.known != nil {
		r.inForce = r.merge(now, stored)
	}
	return r.inForce
}

func (r *Retainer) merge(now time.Time, stored []cowslipplatform.Value) []cowslipplatform.Value {
	r.due = time.Time{}
	l := make([]cowslipplatform.Value, 0, len(stored))
	present := make(map[string]bool, len(stored))
	outranked := false
	for _, v := range stored {
		present[v.Key] = true
		x, ok := r.choose(now, v)
		if ok {
			l = append(l, x)
		}
		outranked = outranked || ok && x.Revision != v.Revision
	}
	for k, v := range r.known {
		if x, ok := r.retention(k); ok && !present[k] && !r.settled[k] && r.retains(now, x.Lost) {
			l = append(l, v)
		}
	}
	if r.due.IsZero() && !outranked {
		r.known, r.settled = nil, nil
	}
	slices.SortFunc(l, func(a, b cowslipplatform.Value) int { return strings.Compare(a.Key, b.Key) })
	return l
}

// choose returns the value that applies of a key that the store holds, and false if none does.
func (r *Retainer) choose(now time.Time, v cowslipplatform.Value) (cowslipplatform.Value, bool) {
	x, retained := r.retention(v.Key)
	k, known := r.known[v.Key]
	written, changed := v.Revision.After(r.from), !bytes.Equal(k.Data, v.Data)
	switch {
	case !retained || r.settled[v.Key]:
		return v, true
	case !known:
		if !written && r.retains(now, x.Returned) {
			return cowslipplatform.Value{}, false
		}
	case changed && x.Version != nil:
		if outranks(x.Version, k.Data, v.Data) {
			return k, true
		}
	case changed && !written && (x.Newer == nil || !x.Newer(k.Data, v.Data)) && r.retains(now, x.Older):
		return k, true
	}
	r.settled[v.Key] = true
	return v, true
}

// outranks reports whether a has a version and b has none or a lower one.
func outranks(version func([]byte) (uint64, bool), a, b []byte) bool {
	n, ok := version(a)
	m, numbered := version(b)
	return ok && (!numbered || m < n)
}

func (r *Retainer) retention(key string) (Retention, bool) {
	if r.Of == nil {
		return Retention{}, false
	}
	return r.Of(key)
}

// retains reports whether a retention of a length has not ended yet.
func (r *Retainer) retains(now time.Time, length time.Duration) bool {
	end := r.began.Add(length)
	if !now.Before(end) {
		return false
	}
	if r.due.IsZero() || end.Before(r.due) {
		r.due = end
	}
	return true
}
