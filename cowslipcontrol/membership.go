package cowslipcontrol

import (
	"slices"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

const (
	// forgetPeer is how long a peer that is not listed and does not answer
	// still counts as a member.
	forgetPeer = 30 * time.Second
	// refusedFor is how long after a refused connection a peer counts as gone.
	refusedFor = 5 * time.Second
	// forgetTarget is how long a target that is no longer listed keeps its row.
	forgetTarget = time.Minute
)

// target is a row of the table of targets.
type target struct {
	handle      *cowsliproute.Target
	incarnation string
	since       time.Time // when any entry instance first saw the incarnation, or found it cold again
	reported    time.Time // last report heard directly
	unlisted    time.Time // zero while the platform lists it
	removed     bool      // no longer listed, and its grace is over
	answered    int64     // hold after which a report was asked for and came
	listLeaving bool
	selfLeaving bool
	cold        bool
	coldFor     time.Duration // as its entry on the platform last said
	coldTill    time.Time     // by that entry, since it was read
	holdings    []cowsliptarget.Holding
	failures    int
	ejected     bool
	ejectedTill time.Time
	backoff     time.Duration
	lastOK      time.Time
	seq         uint64
}

// begin notes a new run of the target. Nothing is sent to it until the next run of
// the limits, since what the run before bore says nothing of this one.
func (t *target) begin(incarnation string, since time.Time, cold bool) {
	t.incarnation, t.since, t.cold = incarnation, since, cold
	t.handle.SetIncarnation(incarnation)
	t.handle.SetLimit(0)
}

func (t *target) leaving() bool { return t.listLeaving || t.selfLeaving || t.removed }

// peer is a row of the table of entry instances.
type peer struct {
	id, failureDomain, addr string
	incarnation             string
	capacity                float64 // processor cores, 0 if not known
	registered              string  // the incarnation that its entry on the platform names
	relay                   *cowsliproute.Relay
	first                   time.Time
	listed                  bool
	leaving                 bool
	heard                   time.Time // last message of any kind
	answered                time.Time // start of the last exchange that it answered
	refused                 time.Time
	revision                uint64
	haveSeq                 uint64 // its rows that this instance has
	ackSeq                  uint64 // this instance's rows that it has
	evidence                map[evidenceKey]counts
}

// gone tells whether the peer runs no process that accepts edits or sends.
func (p *peer) gone() bool {
	return p.leaving || !p.refused.IsZero() && p.refused.After(p.heard)
}

func (p *peer) member() Member {
	return Member{ID: p.id, FailureDomain: p.failureDomain, Addr: p.addr}
}

// Member is an entry instance to exchange with.
type Member struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failureDomain"`
	Addr          string  `json:"addr"`
	Capacity      float64 `json:"capacity,omitempty"`    // processor cores, 0 if not known
	Incarnation   string  `json:"incarnation,omitempty"` // of its process, empty if not known
}

// Listed handles the platform's list of instances.
func (c *Control) Listed(now time.Time, l []cowslipplatform.Instance) {
	seen := make(map[string]bool, len(l))
	for _, i := range l {
		seen[i.ID] = true
		t := c.ensureTarget(now, i)
		if t.coldFor != i.ColdFor {
			t.coldFor, t.coldTill = i.ColdFor, now.Add(i.ColdFor)
			c.limitsDirty = true
		}
		if t.listLeaving != i.Leaving || !t.unlisted.IsZero() {
			t.listLeaving = i.Leaving
			t.unlisted = time.Time{}
			t.removed = false
			c.noteLeaving(t, "listed")
		}
	}
	for i := range c.targets {
		t := &c.targets[i]
		if !seen[t.handle.Info().ID] && t.unlisted.IsZero() {
			t.unlisted = now
			c.runRemoval(now, t)
		}
	}
}

// runRemoval takes a target out of use once it has been off the list for the
// grace.
func (c *Control) runRemoval(now time.Time, t *target) {
	if t.unlisted.IsZero() || t.removed || now.Sub(t.unlisted) < c.o.RemovalGrace {
		return
	}
	t.removed = true
	c.noteLeaving(t, "no longer listed")
}

func (c *Control) noteLeaving(t *target, how string) {
	if t.leaving() != t.handle.Leaving() {
		t.handle.SetLeaving(t.leaving())
		if t.leaving() {
			c.o.Event("targetLeaving", t.handle.Info().ID, how)
		}
	}
	c.touch(t)
}

func (c *Control) ensureTarget(now time.Time, i cowslipplatform.Instance) *target {
	if n, ok := c.targetAt[i.ID]; ok {
		t := &c.targets[n]
		o := t.handle.Info()
		again := i.Incarnation != "" && t.incarnation != i.Incarnation
		if o.Addr == i.Addr && o.Version == i.Version && o.Service == i.Service && o.FailureDomain == i.FailureDomain && !again {
			return t
		}
		c.dropTarget(n)
	}
	slots := max(i.Slots, 1)
	if s, ok := c.config.Service(i.Service); ok && i.Slots == 0 {
		slots = s.Slots()
	}
	h := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: i.ID, Addr: i.Addr, Service: i.Service, FailureDomain: i.FailureDomain, Version: i.Version, Slots: slots})
	c.targets = append(c.targets, target{handle: h, lastOK: now})
	c.targetAt[i.ID] = len(c.targets) - 1
	c.byAddr[i.Addr] = h
	t := &c.targets[len(c.targets)-1]
	if i.Incarnation != "" {
		t.incarnation = i.Incarnation
		h.SetIncarnation(i.Incarnation)
		t.holdings = []cowsliptarget.Holding{{Hi: cowsliptarget.KeySpace}}
		t.since = now.Add(-c.warmTime(t))
	}
	c.touch(t)
	return t
}

func (c *Control) dropTarget(n int) {
	t := c.targets[n]
	i := t.handle.Info()
	t.handle.SetLimit(0)
	t.handle.SetLeaving(true)
	if c.byAddr[i.Addr] == t.handle {
		delete(c.byAddr, i.Addr)
	}
	c.markTargets(i.Service)
	last := len(c.targets) - 1
	c.targets[n] = c.targets[last]
	c.targetAt[c.targets[n].handle.Info().ID] = n
	delete(c.targetAt, i.ID)
	c.targets = c.targets[:last]
}

// Members handles the platform's list of entry instances.
func (c *Control) Members(now time.Time, l []Member) {
	seen := map[string]bool{}
	for _, m := range l {
		seen[m.ID] = true
		if p := c.ensurePeer(now, m); p != nil {
			p.listed = true
		}
	}
	for i := range c.peers {
		p := &c.peers[i]
		if p.listed && !seen[p.id] {
			p.first = now
		}
		p.listed = seen[p.id]
	}
}

// PeerAnswered handles a call that a peer answered.
func (c *Control) PeerAnswered(now time.Time, id string) {
	for i := range c.peers {
		if p := &c.peers[i]; p.id == id {
			p.heard, p.answered = now, now
		}
	}
}

func (c *Control) ensurePeer(now time.Time, m Member) *peer {
	if m.ID == c.o.ID || m.ID == "" {
		return nil
	}
	for i := range c.peers {
		if p := &c.peers[i]; p.id == m.ID {
			if m.Incarnation != "" && p.registered != m.Incarnation {
				p.registered = m.Incarnation
				// What refused connections was the process before.
				p.refused = time.Time{}
				c.limitsDirty = true
			}
			if p.addr != m.Addr || m.Capacity != 0 && p.capacity != m.Capacity {
				p.addr = m.Addr
				p.capacity = max(m.Capacity, p.capacity)
				c.limitsDirty = true
			}
			return p
		}
	}
	c.peers = append(c.peers, peer{id: m.ID, failureDomain: m.FailureDomain, addr: m.Addr, capacity: m.Capacity, registered: m.Incarnation, first: now, evidence: map[evidenceKey]counts{}})
	c.o.Event("peerJoined", m.ID, m.Addr)
	c.limitsDirty = true
	return &c.peers[len(c.peers)-1]
}

// PeerFailed handles an exchange that brought no answer. Refused says that the
// peer's host answered that no process listens.
func (c *Control) PeerFailed(now time.Time, id string, refused bool) {
	for i := range c.peers {
		p := &c.peers[i]
		if p.id != id || !refused {
			continue
		}
		if !p.gone() {
			c.o.Event("peerGone", id, "connection refused")
			c.limitsDirty = true
		}
		p.refused = now
	}
}

// runMembership forgets targets and peers that are gone for good.
func (c *Control) runMembership(now time.Time) {
	for i := len(c.targets) - 1; i >= 0; i-- {
		c.runRemoval(now, &c.targets[i])
		if u := c.targets[i].unlisted; !u.IsZero() && now.Sub(u) > forgetTarget {
			c.dropTarget(i)
		}
	}
	n := len(c.peers)
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool {
		last := later(p.heard, p.first)
		away := refusedFor
		if !p.gone() && !c.o.Listed {
			away = forgetPeer
		}
		forget := !p.listed && now.Sub(last) > away
		if forget {
			c.retire(&p)
		}
		return forget
	})
	if len(c.peers) != n {
		c.limitsDirty = true
	}
}

// Peers lists the entry instances to exchange with.
func (c *Control) Peers() []Member {
	m := make([]Member, 0, len(c.peers))
	for i := range c.peers {
		p := &c.peers[i]
		m = append(m, p.member())
	}
	return m
}

// mergeRow takes a peer's knowledge of a target. Of two incarnations the one
// first seen later is the newer one.
func (c *Control) mergeRow(now time.Time, r *cowslipmessage.TargetRow) {
	n, ok := c.targetAt[r.GetId()]
	if !ok || r.GetIncarnation() == "" {
		return
	}
	t := &c.targets[n]
	since := now.Add(-time.Duration(r.GetAgeMillis()) * time.Millisecond)
	changed := false
	switch {
	case t.incarnation == "":
		t.begin(r.GetIncarnation(), since, r.GetCold())
		changed = true
	case t.incarnation != r.GetIncarnation():
		if !since.After(t.since) {
			return
		}
		t.begin(r.GetIncarnation(), since, r.GetCold())
		t.selfLeaving = false
		c.resetRestarted(t)
		changed = true
	case r.GetCold() && since.Sub(t.since) > time.Second:
		t.since, t.cold = since, true
		changed = true
	case !t.cold && t.since.Sub(since) > time.Second:
		t.since = since
		changed = true
	}
	if r.GetLeaving() && t.incarnation == r.GetIncarnation() && !t.selfLeaving {
		t.selfLeaving = true
		c.noteLeaving(t, "a peer saw its signal")
		return
	}
	if changed {
		c.noteLeaving(t, "a peer saw a new incarnation")
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
