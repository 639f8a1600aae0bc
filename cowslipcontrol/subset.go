package cowslipcontrol

import (
	"cmp"
	"slices"
)

// shardKey identifies targets that hold the same key range of a service.
type shardKey struct {
	service string
	lo, hi  uint32
}

func (t *target) shardKey() shardKey {
	s := shardKey{service: t.handle.Info().Service}
	if len(t.holdings) > 0 {
		s.lo, s.hi = t.holdings[0].Lo, t.holdings[0].Hi
	}
	return s
}

// groupShards groups the serving targets by shard.
func (c *Control) groupShards() {
	c.shardReplicas = make(map[shardKey][]*target, len(c.services))
	for i := range c.targets {
		if t := &c.targets[i]; c.serving(t) {
			c.shardReplicas[t.shardKey()] = append(c.shardReplicas[t.shardKey()], t)
		}
	}
}

// inSubset reports whether this instance keeps a connection to a target that has
// fewer connections than there are instances. The replicas of a shard are assigned
// round-robin: each instance gets as many as the connections allow on average, those
// in its own failure domain first if a target has enough connections for all instances
// there. If the connections do not suffice for one replica each, the instances that rank
// first get one.
func (c *Control) inSubset(t *target, connections int, sharers senderGroup) bool {
	if c.shardReplicas == nil {
		c.groupShards()
	}
	l := slices.SortedFunc(slices.Values(c.shardReplicas[t.shardKey()]), func(a, b *target) int {
		return cmp.Compare(a.handle.Info().ID, b.handle.Info().ID)
	})
	if len(l) == 0 || connections == 0 {
		return false
	}
	rank := c.senderRank(t.shardKey().service, sharers.ids)
	each := connections * len(l) / len(sharers.ids)
	if each == 0 {
		return rank < connections*len(l) && l[rank%len(l)] == t
	}
	order := rotated(l, rank)
	if sharers.sameDomain <= connections {
		slices.SortStableFunc(order, func(a, b *target) int { return c.domainDistance(a) - c.domainDistance(b) })
	}
	return slices.Contains(order[:min(each, len(order))], t)
}

// senderRank returns this instance's rank among the senders, in a rendezvous order
// that differs by service.
func (c *Control) senderRank(service string, senders []string) int {
	own, n := rendezvousScore(service, c.o.ID), 0
	for _, s := range senders {
		if s != c.o.ID && rendezvousScore(service, s) > own {
			n++
		}
	}
	return n
}

// rotated returns a copy of a list, rotated to begin at index start modulo its length.
func rotated(l []*target, start int) []*target {
	n := start % len(l)
	return append(slices.Clone(l[n:]), l[:n]...)
}

// domainDistance returns 0 for a target in the own failure domain and 1 for any other.
func (c *Control) domainDistance(t *target) int {
	if t.handle.Info().FailureDomain == c.o.FailureDomain {
		return 0
	}
	return 1
}
