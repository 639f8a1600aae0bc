package cowslipcontrol

import (
	"cmp"
	"slices"
)

// Sources lists where an instance obtains the contents of the platform's store.
type Sources struct {
	ReadsStore     bool     // this instance reads the store itself
	OwnReader      Member   // the reader of the own failure domain, zero if ReadsStore is set
	OtherReaders   []Member // the readers of the other failure domains
	OtherInstances []Member // all instances that are not readers; any may have the contents while readers do not
}

// Sources selects one reader of the store per failure domain, by rendezvous hashing
// among the instances that are listed and not gone. Those that send wide requests
// directly, which are the larger ones, are preferred, since the other instances of the
// failure domain copy the whole store from the reader.
func (c *Control) Sources() Sources {
	own := Member{ID: c.o.ID, FailureDomain: c.o.FailureDomain, Capacity: c.o.Capacity}
	readers := map[string]Member{}
	if !c.leaving {
		readers[own.FailureDomain] = own
	}
	for i := range c.peers {
		p := &c.peers[i]
		if p.gone() || !p.listed {
			continue
		}
		m := Member{ID: p.id, FailureDomain: p.failureDomain, Addr: p.addr, Capacity: p.capacity}
		if r, ok := readers[p.failureDomain]; !ok || c.prefersReader(m, r) {
			readers[p.failureDomain] = m
		}
	}
	var s Sources
	for d, r := range readers {
		switch {
		case r.ID == own.ID:
			s.ReadsStore = true
		case d == own.FailureDomain:
			s.OwnReader = r
		default:
			s.OtherReaders = append(s.OtherReaders, r)
		}
	}
	for i := range c.peers {
		if p := &c.peers[i]; !p.gone() && p.id != readers[p.failureDomain].ID {
			s.OtherInstances = append(s.OtherInstances, p.member())
		}
	}
	slices.SortFunc(s.OtherReaders, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// prefersReader reports whether a is preferred to b as the reader.
func (c *Control) prefersReader(a, b Member) bool {
	if x := c.sendsDirectly(a.Capacity); x != c.sendsDirectly(b.Capacity) {
		return x
	}
	return rendezvousScore(a.FailureDomain, a.ID) > rendezvousScore(b.FailureDomain, b.ID)
}
