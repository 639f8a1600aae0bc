package cowslipstandin

import (
	"maps"
	"slices"
	"time"

	"cowslipflow/cowslipplatform"
)

// Snapshot is a copy of all that a Platform stores, to which Revert returns.
type Snapshot struct {
	at        time.Time
	revision  uint64
	compacted uint64
	values    map[string]storedValue
	leases    map[uint64]lease
	nextLease uint64
	changes   []cowslipplatform.Change
}

// at returns the revision with a number in the present era.
func (p *Platform) at(number uint64) cowslipplatform.Revision {
	return cowslipplatform.NewRevision(p.era, number)
}

// Era returns the number of times that Revert was called.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}

// Snapshot copies all values and leases.
func (p *Platform) Snapshot() *Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &Snapshot{at: p.clock.Now(), revision: p.revision, compacted: p.compactedRevision, values: maps.Clone(p.values), leases: map[uint64]lease{}, nextLease: p.nextLease, changes: slices.Clone(p.changes)}
	for id, l := range p.leases {
		s.leases[id] = *l
	}
	return s
}

// Revert returns to a snapshot and begins the next era, as after a loss of data: all writes and
// leases since are gone, and revisions and IDs of leases are given out again. Leases have as much
// time left as they had when the snapshot was taken.
func (p *Platform) Revert(s *Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.era++
	p.revision, p.compactedRevision, p.nextLease = s.revision, s.compacted, s.nextLease
	p.values = make(map[string]storedValue, len(s.values))
	for k, v := range s.values {
		v.Revision = p.at(v.Revision.Number())
		p.values[k] = v
	}
	p.leases = map[uint64]*lease{}
	since := p.clock.Now().Sub(s.at)
	for id, l := range s.leases {
		l.expires = l.expires.Add(since)
		p.leases[id] = &l
	}
	p.changes = slices.Clone(s.changes)
	for i := range p.changes {
		p.changes[i].Revision = p.at(p.changes[i].Revision.Number())
	}
	p.notifyWatchers()
}
