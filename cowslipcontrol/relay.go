package cowslipcontrol

import (
	"slices"

	"cowslipflow/cowsliproute"
)

// relayCapacityRatio is how many times the processor of this instance another one must
// have to serve wide requests for it: passing a request on costs two messages.
const relayCapacityRatio = 2

// senderGroup is a number of entry instances that share something.
type senderGroup struct {
	ids          []string // in order
	sameDomain   int      // of them in the own failure domain
	includesSelf bool     // this instance belongs to it
}

// senders are all instances that may send requests.
func (c *Control) senders() senderGroup {
	return c.groupWhere(func(float64) bool { return true })
}

// directSenders are the instances that send wide requests to targets themselves,
// since none has much more processor. The others pass theirs on, and send
// themselves only while they reach no carrier.
func (c *Control) directSenders() senderGroup {
	most := c.largestCapacity()
	return c.groupWhere(func(capacity float64) bool { return isDirectSender(capacity, most) })
}

func (c *Control) groupWhere(belongs func(capacity float64) bool) senderGroup {
	var g senderGroup
	add := func(id, domain string, capacity float64) {
		if !belongs(capacity) {
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

// sendsDirectly tells whether an instance of that capacity serves wide requests
// itself. One whose capacity is not known does.
func (c *Control) sendsDirectly(capacity float64) bool {
	return isDirectSender(capacity, c.largestCapacity())
}

func isDirectSender(capacity, most float64) bool {
	return capacity == 0 || capacity*relayCapacityRatio > most
}

// largestCapacity is that of the largest instance.
func (c *Control) largestCapacity() float64 {
	most := c.o.Capacity
	for i := range c.peers {
		if p := &c.peers[i]; !p.gone() {
			most = max(most, p.capacity)
		}
	}
	return most
}

// runRelays derives the instances that wide requests are passed on to. Those
// behind a cut are none.
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
