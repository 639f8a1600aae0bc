package cowslipcontrol

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// usableConnectionShare is the share of a target's connections that all entry
// instances together may keep open. The rest is headroom that lets replacement
// instances connect while those that they replace are still connected.
const usableConnectionShare = 0.8

// spareRequests is how many requests this instance may have in flight at a target
// beyond the connections that it keeps open to it, each on a connection of its own.
// They serve hedges, and requests while the targets with kept connections fail. They
// are taken from the headroom.
const spareRequests = 1

// relayReserveShare is the share of the retry slack that is reserved for instances
// that pass wide requests, those on routes that gather from several services, on to
// relays. They use it while they reach no relay.
const relayReserveShare = 0.2

// burstShare is the share of the retries allowed in a window that may be spent at
// once. The rest accrues over the window.
const burstShare = 0.6

// runLimits sets how many requests this instance may have in flight at each target:
// a share of the target's connections, or of its cold slots during warm-up, and none
// while the target is unusable or its ejection lasts.
func (c *Control) runLimits(now time.Time) {
	if !c.limitsDirty && (c.limitsDue.IsZero() || now.Before(c.limitsDue)) {
		return
	}
	c.limitsDirty = false
	c.limitsDue = time.Time{}
	all, direct := c.senders(), c.directSenders()
	c.runRelays()
	c.shareRetryBudgets(all, direct)
	c.shardReplicas = nil
	for i := range c.targets {
		t := &c.targets[i]
		if t.suspensionToEnd != 0 {
			t.handle.SetLimit(0)
			t.handle.Resume(t.suspensionToEnd)
			t.suspensionToEnd = 0
		}
		limit, keep := c.limit(now, t, c.sharers(t, all, direct), all)
		t.handle.SetLimit(limit)
		t.handle.SetMaxIdleConns(keep)
	}
	c.keepLastReplicas(now, all, direct)
}

// sharers returns the instances that share a target: the direct senders if a route
// gathers from its service, otherwise all. It returns the zero group if this instance
// is not one of them.
func (c *Control) sharers(t *target, all, direct senderGroup) senderGroup {
	if !c.gatheredServices[t.handle.Info().Service] {
		return all
	}
	if !direct.includesSelf {
		return senderGroup{}
	}
	return direct
}

// shareRetryBudgets divides the retry slack of each window among the instances that
// send to a service. If a route gathers from the service, the instances that pass wide
// requests on share only relayReserveShare of its slack, for use while they reach no
// relay.
func (c *Control) shareRetryBudgets(all, direct senderGroup) {
	if c.o.RetrySlack == 0 {
		return
	}
	slack := float64(c.o.RetrySlack)
	share := slack / float64(len(all.ids)+1)
	wide := share
	if n := len(all.ids) - len(direct.ids); n > 0 {
		wide = slack * (1 - relayReserveShare) / float64(len(direct.ids)+1)
		if !direct.includesSelf {
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

// scheduleLimits makes runLimits run again at the given time, unless a run is already
// due earlier.
func (c *Control) scheduleLimits(at time.Time) {
	if c.limitsDue.IsZero() || at.Before(c.limitsDue) {
		c.limitsDue = at
	}
}

// limit returns how many requests may be in flight at a target, and how many idle
// connections to it may be kept open.
func (c *Control) limit(now time.Time, t *target, sharers, all senderGroup) (limit, keep int) {
	if !c.usable(t) || t.ejected && now.Before(t.ejectedUntil) {
		return 0, 0
	}
	limit, keep = c.limitBeforeEjection(now, t, sharers, all)
	if t.ejected {
		return min(limit, 1), keep
	}
	return limit, keep
}

// serving reports whether a target counts as a replica in routing snapshots: its
// service is configured, its incarnation is known, it is not leaving and its failure
// domain is not taken out.
func (c *Control) serving(t *target) bool {
	i := t.handle.Info()
	_, ok := c.config.Service(i.Service)
	return ok && t.incarnation != "" && !t.leaving() && !c.config.FailureDomainOut(i.FailureDomain) && !c.isWithdrawn(i)
}

// usable reports whether requests may be sent to a target now, apart from its limit
// and its ejection.
func (c *Control) usable(t *target) bool {
	return c.serving(t) && t.handle.Suspension() == 0 && c.ensureDomain(t.handle.Info().FailureDomain).cutSince.IsZero()
}

func (c *Control) limitBeforeEjection(now time.Time, t *target, sharers, all senderGroup) (limit, keep int) {
	limit, keep = c.limitBeforePacing(now, t, sharers)
	return min(limit, c.paceLimit(now, t, sharers, all, limit)), keep
}

func (c *Control) limitBeforePacing(now time.Time, t *target, sharers senderGroup) (limit, keep int) {
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
	n := int(float64(s.Connections()) * usableConnectionShare)
	share := n / (len(sharers.ids) + 1)
	if share == 0 && c.inSubset(t, n, sharers) {
		share = 1
	}
	if !c.o.ListOnly {
		return min(share, slots), min(share, slots)
	}
	return min(share+spareRequests, slots), min(share, slots)
}

// coldLimit returns this instance's part of the requests that a cold target may have
// in flight. If there are fewer slots than senders, rendezvous hashing selects the
// instances that may send one. An instance that is not one of the senders has no part,
// as the senders use all slots; it then passes no senders.
func (c *Control) coldLimit(now time.Time, id string, slots int, senders []string) int {
	if c.leaving || len(senders) == 0 {
		return 0
	}
	if g := c.startedAt.Add(JoinGrace); now.Before(g) {
		c.scheduleLimits(g)
		return 0
	}
	if n := slots / len(senders); n > 0 {
		return n
	}
	if c.amongFirst(id, senders, slots) {
		return 1
	}
	return 0
}

// amongFirst reports whether this instance is among the first n senders in the
// rendezvous order of a target or move with the given ID.
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

// keepLastReplicas allows one request in flight at each usable replica of a shard
// whose usable replicas are all ejected.
func (c *Control) keepLastReplicas(now time.Time, all, direct senderGroup) {
	if !slices.ContainsFunc(c.targets, func(t target) bool { return t.ejected }) {
		return
	}
	for _, s := range c.services {
		for _, n := range s.snapshots {
			for _, p := range n.Shards {
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
					limit, _ := c.limitBeforeEjection(now, t, c.sharers(t, all, direct), all)
					t.handle.SetLimit(min(1, limit))
				}
			}
		}
	}
}
