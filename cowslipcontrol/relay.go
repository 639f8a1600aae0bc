package cowslipcontrol

import (
	"slices"

	"cowslipflow/cowsliproute"
)

// relayCapacityRatio is the least ratio between the processor cores of two instances at
// which the larger one serves wide requests for the smaller one. Wide requests are those
// on routes that gather from several services. Passing a request on costs two messages,
// so a smaller ratio does not pay off.
const relayCapacityRatio = 2

// senderGroup is a group of entry instances that share targets.
type senderGroup struct {
	ids          []string // sorted
	sameDomain   int      // how many of them are in the own failure domain
	includesSelf bool     // whether this instance is one of them
}

// senders returns all instances that may send requests.
func (c *Control) senders() senderGroup {
	return c.groupWhere(func(float64) bool { return true })
}

// directSenders returns the instances that send wide requests to targets themselves,
// since no other instance has relayCapacityRatio times their processor cores. The
// remaining instances pass theirs on to relays and send directly only while they
// reach no relay.
func (c *Control) directSenders() senderGroup {
	most := c.largestCapacity()
	return c.groupWhere(func(capacity float64) bool { return isDirectSender(capacity, most) })
}

// WidePeers returns the other instances that send wide requests to targets themselves.
func (c *Control) WidePeers() []Member {
	var l []Member
	for i := range c.peers {
		if p := &c.peers[i]; !p.gone() && c.sendsDirectly(p.capacity) {
			l = append(l, p.member())
		}
	}
	return l
}

// relayingSenders returns the other instances, which pass wide requests on.
func (c *Control) relayingSenders() senderGroup {
	most := c.largestCapacity()
	return c.groupWhere(func(capacity float64) bool { return !isDirectSender(capacity, most) })
}

func (c *Control) groupWhere(include func(capacity float64) bool) senderGroup {
	var g senderGroup
	add := func(id, domain string, capacity float64) {
		if !include(capacity) {
			return
		}
		g.ids = append(g.ids, id)
		g.includesSelf = g.includesSelf || id == c.o.ID
		if domain == c.o.FailureDomain {
			g.sameDomain++
		}
	}
	add(c.o.ID, c.o.FailureDomain, c.o.Capacity)
	for i := range c.peers {
		if p := &c.peers[i]; !p.gone() {
			add(p.id, p.failureDomain, p.capacity)
		}
	}
	slices.Sort(g.ids)
	return g
}

// sendsDirectly reports whether an instance of the given capacity sends wide requests
// to targets itself. An instance of unknown capacity does.
func (c *Control) sendsDirectly(capacity float64) bool {
	return isDirectSender(capacity, c.largestCapacity())
}

func isDirectSender(capacity, largest float64) bool {
	return capacity == 0 || capacity*relayCapacityRatio > largest
}

// largestCapacity returns the capacity of the largest instance that is not gone.
func (c *Control) largestCapacity() float64 {
	most := c.o.Capacity
	for i := range c.peers {
		if p := &c.peers[i]; !p.gone() {
			most = max(most, p.capacity)
		}
	}
	return most
}

// runRelays selects the relays to which this instance passes wide requests on. It
// skips instances in failure domains that are cut off.
func (c *Control) runRelays() {
	var l []*cowsliproute.Relay
	if !c.sendsDirectly(c.o.Capacity) {
		for i := range c.peers {
			p := &c.peers[i]
			if p.gone() || p.capacity < relayCapacityRatio*c.o.Capacity || !c.sendsDirectly(p.capacity) || !c.ensureDomain(p.failureDomain).cutSince.IsZero() {
				continue
			}
			if p.relay == nil || p.relay.Addr() != p.addr {
				p.relay = cowsliproute.NewRelay(p.id, p.addr, p.failureDomain)
			}
			l = append(l, p.relay)
		}
	}
	if !slices.Equal(l, c.relays) {
		c.relays = l
		c.viewDirty = true
	}
}
