package cowslipmirror

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"cowslipflow/cowslipplatform"
)

// maxHistoryChanges is the number of changes that a mirror keeps for its
// followers. A follower that is further behind gets a full update. Only the last change of
// a key keeps its value, so that values are held about once however often they change.
const maxHistoryChanges = 4096

// Update is a transfer of content to a mirror: all content if Full, otherwise the
// changes after revision From, which is of the same era as Revision. Either brings the
// mirror to Revision.
type Update struct {
	Full        bool
	From        cowslipplatform.Revision
	Revision    cowslipplatform.Revision
	Changes     []cowslipplatform.Change
	ConfirmedAt time.Time // when the store last confirmed the content
}

// Mirror is a copy of keys of the store. The zero value is an empty mirror. It is
// safe for concurrent use.
type Mirror struct {
	mu          sync.Mutex
	values      map[string]cowslipplatform.Value
	revision    cowslipplatform.Revision
	confirmedAt time.Time
	history     []cowslipplatform.Change // of the era of revision
	historyFrom cowslipplatform.Revision // history holds all changes after this revision
	trimmed     int                      // how many changes were removed from the start of history
	latest      map[string]int           // by key: the position of its last change in history, plus trimmed
	advanced    chan struct{}
}

// Revision returns the store revision up to which the mirror holds all changes, or
// zero if it has received no content.
func (m *Mirror) Revision() cowslipplatform.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.revision
}

// ConfirmedAt returns the latest time at which the store is known to have
// confirmed the content, or the zero time if there is none.
func (m *Mirror) ConfirmedAt() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmedAt
}

// Get returns the value of a key and reports whether the key exists.
func (m *Mirror) Get(key string) (cowslipplatform.Value, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	v, ok := m.values[key]
	return v, ok
}

// Values returns all values, sorted by key.
func (m *Mirror) Values() []cowslipplatform.Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedValues()
}

func (m *Mirror) sortedValues() []cowslipplatform.Value {
	l := make([]cowslipplatform.Value, 0, len(m.values))
	for _, v := range m.values {
		l = append(l, v)
	}
	sort.Slice(l, func(i, j int) bool { return l[i].Key < l[j].Key })
	return l
}

// Apply applies an update and reports whether the content changed. It ignores an
// update that is older than the content, of an earlier era, or that would leave a gap. An
// empty mirror, or one with content of an earlier era, accepts only a full update.
func (m *Mirror) Apply(u Update) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.accepts(u) {
		return false
	}
	if u.ConfirmedAt.After(m.confirmedAt) {
		m.confirmedAt = u.ConfirmedAt
	}
	changed := false
	if u.Full {
		changed = m.replaceAll(u)
	} else {
		changed = m.applyChanges(u)
	}
	if u.Revision.After(m.revision) || changed {
		m.revision = u.Revision
		if m.advanced != nil {
			close(m.advanced)
			m.advanced = nil
		}
	}
	return changed
}

func (m *Mirror) accepts(u Update) bool {
	if u.Full {
		// A listing that was never confirmed may be of a copy of an earlier era.
		unconfirmed := m.confirmedAt.IsZero() && !u.ConfirmedAt.IsZero() && u.Revision.SameEra(m.revision)
		return !u.Revision.Before(m.revision) || unconfirmed
	}
	return !m.revision.IsZero() && u.Revision.SameEra(m.revision) && u.From.SameEra(m.revision) && !u.Revision.Before(m.revision) && !u.From.After(m.revision)
}

// replaceAll replaces the content. The pages of a listing are not a consistent
// snapshot, so a value may be newer than the listing's revision. The newer value
// is kept.
func (m *Mirror) replaceAll(u Update) bool {
	n := make(map[string]cowslipplatform.Value, len(u.Changes))
	changed := m.revision.IsZero()
	for _, c := range u.Changes {
		n[c.Key] = c.Value
	}
	back := u.Revision.Before(m.revision)
	for k, v := range m.values {
		x, ok := n[k]
		switch {
		case !back && v.Revision.After(u.Revision) && x.Revision.Before(v.Revision):
			n[k] = v
		case !ok || x.Revision != v.Revision:
			changed = true
		}
	}
	changed = changed || len(n) != len(m.values)
	m.values = n
	m.history, m.historyFrom, m.latest = nil, u.Revision, nil
	return changed
}

func (m *Mirror) applyChanges(u Update) bool {
	changed := false
	for _, c := range u.Changes {
		if !c.Revision.After(m.revision) {
			continue
		}
		m.record(c)
		if !m.values[c.Key].Revision.Before(c.Revision) {
			continue
		}
		if c.Removed {
			delete(m.values, c.Key)
		} else {
			m.values[c.Key] = c.Value
		}
		changed = true
	}
	m.trim()
	return changed
}

// record adds a change to the history and removes the value of the key's change before.
func (m *Mirror) record(c cowslipplatform.Change) {
	if m.latest == nil {
		m.latest = map[string]int{}
	}
	if i, ok := m.latest[c.Key]; ok {
		m.history[i-m.trimmed].Data = nil
	}
	m.latest[c.Key] = m.trimmed + len(m.history)
	m.history = append(m.history, c)
}

// trim removes the oldest changes of the history that exceed maxHistoryChanges.
func (m *Mirror) trim() {
	n := len(m.history) - maxHistoryChanges
	if n <= 0 {
		return
	}
	m.historyFrom = m.history[n-1].Revision
	for i, c := range m.history[:n] {
		if m.latest[c.Key] == m.trimmed+i {
			delete(m.latest, c.Key)
		}
	}
	m.history = append([]cowslipplatform.Change(nil), m.history[n:]...)
	m.trimmed += n
}

// Since returns the update that brings a mirror at the given revision up to date
// with this one.
func (m *Mirror) Since(revision cowslipplatform.Revision) Update {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := Update{From: revision, Revision: m.revision, ConfirmedAt: m.confirmedAt}
	if m.revision.IsZero() || !revision.Before(m.revision) {
		return u
	}
	if revision.Before(m.historyFrom) || revision.IsZero() {
		u.Full = true
		for _, v := range m.sortedValues() {
			u.Changes = append(u.Changes, cowslipplatform.Change{Value: v})
		}
		return u
	}
	u.Changes = latestPerKey(m.history, revision)
	return u
}

// latestPerKey returns the last change of each key after a revision, in order. When
// many keys expire and are written again at once, half of the changes are
// superseded.
func latestPerKey(l []cowslipplatform.Change, after cowslipplatform.Revision) []cowslipplatform.Change {
	var n []cowslipplatform.Change
	seen := map[string]bool{}
	for _, c := range slices.Backward(l) {
		if !c.Revision.After(after) {
			break
		}
		if !seen[c.Key] {
			seen[c.Key] = true
			n = append(n, c)
		}
	}
	slices.Reverse(n)
	return n
}

// Wait blocks until the mirror's revision exceeds the given one or ctx ends.
func (m *Mirror) Wait(ctx context.Context, revision cowslipplatform.Revision) {
	m.mu.Lock()
	if m.revision.After(revision) {
		m.mu.Unlock()
		return
	}
	if m.advanced == nil {
		m.advanced = make(chan struct{})
	}
	c := m.advanced
	m.mu.Unlock()
	select {
	case <-c:
	case <-ctx.Done():
	}
}
