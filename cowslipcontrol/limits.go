package cowslipcontrol

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// connectionHeadroom is the share of a target's connections that all entry
// instances together use, so that a replacement fits beside those it replaces.
const connectionHeadroom = 0.8

// spareRequests is how many requests this instance may have in flight at a
// target on top of the connections that it keeps, each on a connection of its
// own: for hedges, and while the targets that it keeps connections to fail. They
// come out of the headroom.
const spareRequests = 1

// relayReserveShare is the part of the retries allowed that instances which pass
// their requests on keep for while they reach no carrier.
const relayReserveShare = 0.2

// burstShare is the part of the retries allowed in a window that may be spent at
// once; the rest accrues over the window.
const burstShare = 0.6

// runLimits sets how many requests this instance may have in flight at each
// target: a share of the target's connections, none while it may not be asked,
// and a share of what a cold target bears counted over all instances.
func (c *Control) runLimits(now time.Time) {
	if !c.limitsDirty && (c.limitsDue.IsZero() || now.Before(c.limitsDue)) {
		return
	}
	c.limitsDirty = false
	c.limitsDue = time.Time{}
	all, carriers := c.senders(), c.directSenders()
	c.runRelays()
	c.shareRetryBudgets(all, carriers)
	c.shards = nil
	for i := range c.targets {
		t := &c.targets[i]
		if t.holdToClear != 0 {
			t.handle.SetLimit(0)
			t.handle.Clear(t.holdToClear)
			t.holdToClear = 0
		}
		limit, keep := c.limit(now, t, c.sharers(t, all, carriers))
		t.handle.SetLimit(limit)
		t.handle.SetKeep(keep)
	}
	c.keepLastReplicas(now, all, carriers)
}

// sharers are the instances that share a target. The zero group stands for others
// than this instance.
func (c *Control) sharers(t *target, all, carriers senderGroup) senderGroup {
	if !c.gatheredServices[t.handle.Info().Service] {
		return all
	}
	if !carriers.includesSelf {
		return senderGroup{}
	}
	return carriers
}

// shareRetryBudgets divides the retries allowed in each window, besides the share of
// the requests, among the instances that send to a service. Those that pass their
// requests on keep a small part, for while they reach no carrier.
func (c *Control) shareRetryBudgets(all, carriers senderGroup) {
	if c.o.RetrySlack == 0 {
		return
	}
	slack := float64(c.o.RetrySlack)
	share := slack / float64(len(all.ids)+1)
	wide := share
	if n := len(all.ids) - len(carriers.ids); n > 0 {
		wide = slack * (1 - relayReserveShare) / float64(len(carriers.ids)+1)
		if !carriers.includesSelf {
			wide = slack * relayReserveShare / float64(n+1)
		}
	}
	for n, s := range c.services {
		x := share
		if c.gatheredServices[n] {
			x = wide
		}
		s.budget.SetAllowance(x*burstShare, x*(1-burstShare)/c.o.RetryWindow.Seconds())
	}
}

// scheduleLimits asks for another run of the limits at a time.
func (c *Control) scheduleLimits(at time.Time) {
	if c.limitsDue.IsZero() || at.Before(c.limitsDue) {
		c.limitsDue = at
	}
}

// limit is how many requests may be in flight at a target, and how many of its
// connections may be kept while they are idle.
func (c *Control) limit(now time.Time, t *target, sharers senderGroup) (limit, keep int) {
	if !c.usable(t) || t.ejected && now.Before(t.ejectedUntil) {
		return 0, 0
	}
	limit, keep = c.capacity(now, t, sharers)
	if t.ejected {
		return min(limit, 1), keep
	}
	return limit, keep
}

// serving tells whether a target belongs to the shards that queries cross.
func (c *Control) serving(t *target) bool {
	i := t.handle.Info()
	_, ok := c.config.Service(i.Service)
	return ok && t.incarnation != "" && !t.leaving() && !c.config.Out(i.FailureDomain)
}

// usable tells whether a target may be asked now.
func (c *Control) usable(t *target) bool {
	return c.serving(t) && t.handle.Held() == 0 && c.ensureDomain(t.handle.Info().FailureDomain).cutSince.IsZero()
}

func (c *Control) capacity(now time.Time, t *target, sharers senderGroup) (limit, keep int) {
	limit, keep = c.unpacedCapacity(now, t, sharers)
	return min(limit, c.paceLimit(now, t, sharers, limit)), keep
}

func (c *Control) unpacedCapacity(now time.Time, t *target, sharers senderGroup) (limit, keep int) {
	i := t.handle.Info()
	s, _ := c.config.Service(i.Service)
	if w := t.warmupStart.Add(s.WarmTime()); !c.o.NoRamp && (t.cold || now.Before(w)) {
		if !t.cold || now.Before(w) {
			c.scheduleLimits(w)
		}
		n := c.coldLimit(now, i.ID, s.ColdSlots(), sharers.ids)
		return n, n
	}
	slots := max(s.Slots(), i.Slots)
	if len(sharers.ids) == 0 {
		return min(spareRequests, slots), 0
	}
	n := int(float64(s.Connections()) * connectionHeadroom)
	share := n / (len(sharers.ids) + 1)
	if share == 0 && c.inSubset(t, n, sharers) {
		share = 1
	}
	if !c.o.ListOnly {
		return min(share, slots), min(share, slots)
	}
	return min(share+spareRequests, slots), min(share, slots)
}

// coldLimit divides what a cold target bears among all senders; where that is
// less than one each, rendezvous hashing picks who sends.
func (c *Control) coldLimit(now time.Time, id string, bears int, senders []string) int {
	if c.leaving {
		return 0
	}
	if g := c.startedAt.Add(JoinGrace); now.Before(g) {
		c.scheduleLimits(g)
		return 0
	}
	if n := bears / len(senders); n > 0 {
		return n
	}
	if c.amongFirst(id, senders, bears) {
		return 1
	}
	return 0
}

// amongFirst tells whether this instance is among the first n of the senders in
// the target's rendezvous order.
func (c *Control) amongFirst(id string, senders []string, n int) bool {
	own := rendezvousScore(id, c.o.ID)
	above := 0
	for _, s := range senders {
		if s != c.o.ID && rendezvousScore(id, s) > own {
			above++
		}
	}
	return above < n
}

func rendezvousScore(a, b string) uint64 {
	return xxhash.Sum64String(a + "\x00" + b)
}

// keepLastReplicas gives the usable replicas of a shard that health alone would
// leave empty one request each.
func (c *Control) keepLastReplicas(now time.Time, all, carriers senderGroup) {
	if !slices.ContainsFunc(c.targets, func(t target) bool { return t.ejected }) {
		return
	}
	for _, s := range c.services {
		for _, n := range s.snapshots {
			for _, p := range n.Parts {
				var e []*target
				healthy := false
				for _, h := range p.Replicas {
					t := c.row(h)
					if t == nil || !c.usable(t) {
						continue
					}
					healthy = healthy || !t.ejected
					if t.ejected {
						e = append(e, t)
					}
				}
				if healthy {
					continue
				}
				for _, t := range e {
					limit, _ := c.capacity(now, t, c.sharers(t, all, carriers))
					t.handle.SetLimit(min(1, limit))
				}
			}
		}
	}
}
