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
	// peerRetention is how long a peer that is not listed and is silent keeps its row.
	peerRetention = 30 * time.Second
	// gonePeerRetention replaces peerRetention for a peer that is leaving or refused a
	// connection, and for every peer if Options.ListOnly is set.
	gonePeerRetention = 5 * time.Second
	// targetRetention is how long a target that is no longer listed keeps its row.
	targetRetention = time.Minute
)

// target is a row of the table of targets.
type target struct {
	handle          *cowsliproute.Target
	incarnation     string
	warmupStart     time.Time // when an entry instance first saw the incarnation, or last found it cold again
	reportedAt      time.Time // last report received from the target itself
	unlistedAt      time.Time // zero while the platform lists it
	graceUntil      time.Time // while it is unlisted: until when it stays in use
	removed         bool      // no longer listed, and the removal grace is over
	suspensionToEnd int64     // number of the suspension, due to a lost connection, that the next runLimits ends since the target has reported; 0 if none
	listLeaving     bool
	selfLeaving     bool
	cold            bool
	coldFor         time.Duration // as last given by its entry on the platform
	coldUntil       time.Time     // coldFor after that entry was read
	holdings        []cowsliptarget.Holding
	failures        int
	ejected         bool
	ejectedUntil    time.Time
	backoff         time.Duration
	lastSuccess     time.Time
	requestLimit    float64   // requests per second that the target takes from all instances, 0 for no limit
	limitStatedAt   time.Time // when a response last stated it
	seq             uint64
}

// beginIncarnation records a new incarnation of the target. Nothing is sent to it until
// runLimits runs next, since the limit of the previous incarnation does not apply to it.
func (t *target) beginIncarnation(incarnation string, warmupStart time.Time, cold bool) {
	t.incarnation, t.warmupStart, t.cold = incarnation, warmupStart, cold
	t.handle.SetIncarnation(incarnation)
	t.handle.SetLimit(0)
}

func (t *target) leaving() bool { return t.listLeaving || t.selfLeaving || t.removed }

// peer is a row of the table of entry instances.
type peer struct {
	id, failureDomain, addr string
	incarnation             string
	capacity                float64 // processor cores, 0 if unknown
	listedIncarnation       string  // incarnation named by its entry on the platform
	relay                   *cowsliproute.Relay
	firstSeen               time.Time // reset when the peer leaves the list
	listed                  bool
	leaving                 bool
	lastMessage             time.Time // last message or answer
	lastExchange            time.Time // when it last answered a call; for an exchange of state, when the exchange began
	refusedAt               time.Time
	revision                cowslipplatform.Revision // of its configuration in force
	haveSeq                 uint64                   // highest sequence number of its rows that this instance has received
	ackSeq                  uint64                   // highest sequence number of this instance's rows that it has received
	evidence                map[evidenceKey]counts
	evidenceAt              time.Time // when evidence was last received
}

// gone reports whether the peer has no process that accepts edits or sends requests:
// it is leaving, or its host has refused a connection since its last message.
func (p *peer) gone() bool {
	return p.leaving || !p.refusedAt.IsZero() && p.refusedAt.After(p.lastMessage)
}

func (p *peer) member() Member {
	return Member{ID: p.id, FailureDomain: p.failureDomain, Addr: p.addr}
}

// Member is an entry instance to exchange state with.
type Member struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failureDomain"`
	Addr          string  `json:"addr"`
	Capacity      float64 `json:"capacity,omitempty"`    // processor cores, 0 if unknown
	Incarnation   string  `json:"incarnation,omitempty"` // of its process, empty if unknown
}

// UpdateTargets applies the platform's list of targets.
func (c *Control) UpdateTargets(now time.Time, l []cowslipplatform.Instance) {
	seen := make(map[string]bool, len(l))
	for _, i := range l {
		seen[i.ID] = true
		t := c.ensureTarget(now, i)
		if t.coldFor != i.ColdFor {
			t.coldFor, t.coldUntil = i.ColdFor, now.Add(i.ColdFor)
			c.limitsDirty = true
		}
		if t.listLeaving != i.Leaving || !t.unlistedAt.IsZero() {
			t.listLeaving = i.Leaving
			t.unlistedAt = time.Time{}
			t.removed = false
			c.updateLeaving(t, "listed")
		}
	}
	for i := range c.targets {
		t := &c.targets[i]
		if !seen[t.handle.Info().ID] && t.unlistedAt.IsZero() {
			t.unlistedAt = now
			t.graceUntil = later(now.Add(c.o.RemovalGrace), c.lapsedUntil)
			c.removeAfterGrace(now, t)
		}
	}
}

// RemoveUnlisted takes the targets that are not listed out of use at once. It is for an
// instance that has just started and took them from a list that was out of date: others
// have known for longer that they are gone, and their grace may be over.
func (c *Control) RemoveUnlisted() {
	for i := range c.targets {
		if t := &c.targets[i]; !t.unlistedAt.IsZero() && !t.removed {
			t.removed = true
			c.updateLeaving(t, "no longer listed")
		}
	}
}

// StoreReturned handles the first answer of the store after an outage. The entries of
// targets that could not renew them may have lapsed, and the targets need some time to
// write them again. Those that are found missing before backBy stay in use until then.
func (c *Control) StoreReturned(backBy time.Time) { c.lapsedUntil = backBy }

// removeAfterGrace takes a target out of use once its grace is over.
func (c *Control) removeAfterGrace(now time.Time, t *target) {
	if t.unlistedAt.IsZero() || t.removed || now.Before(t.graceUntil) {
		return
	}
	t.removed = true
	c.updateLeaving(t, "no longer listed")
}

func (c *Control) updateLeaving(t *target, detail string) {
	if t.leaving() != t.handle.Leaving() {
		t.handle.SetLeaving(t.leaving())
		if t.leaving() {
			c.o.Event("targetLeaving", t.handle.Info().ID, detail)
		}
	}
	c.touch(t)
}

func (c *Control) ensureTarget(now time.Time, i cowslipplatform.Instance) *target {
	var before *cowsliproute.Target // of another run or at another place
	if n, ok := c.targetIndex[i.ID]; ok {
		t := &c.targets[n]
		o := t.handle.Info()
		again := i.Incarnation != "" && t.incarnation != i.Incarnation
		if o.Addr == i.Addr && o.Version == i.Version && o.Service == i.Service && o.FailureDomain == i.FailureDomain && !again {
			return t
		}
		before = t.handle
		c.dropTarget(n)
	}
	slots := max(i.Slots, 1)
	if s, ok := c.config.Service(i.Service); ok && i.Slots == 0 {
		slots = s.Slots()
	}
	h := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: i.ID, Addr: i.Addr, Service: i.Service, FailureDomain: i.FailureDomain, Version: i.Version, Slots: slots})
	if before != nil {
		h.TakePause(before)
	}
	c.targets = append(c.targets, target{handle: h, lastSuccess: now})
	c.targetIndex[i.ID] = len(c.targets) - 1
	c.targetByAddr[i.Addr] = h
	t := &c.targets[len(c.targets)-1]
	if i.Incarnation != "" {
		t.incarnation = i.Incarnation
		h.SetIncarnation(i.Incarnation)
		t.holdings = []cowsliptarget.Holding{{Hi: cowsliptarget.KeySpace}}
		t.warmupStart = now.Add(-c.warmTime(t))
	}
	c.touch(t)
	return t
}

func (c *Control) dropTarget(n int) {
	t := c.targets[n]
	i := t.handle.Info()
	t.handle.SetLimit(0)
	t.handle.SetLeaving(true)
	if c.targetByAddr[i.Addr] == t.handle {
		delete(c.targetByAddr, i.Addr)
	}
	c.markTargetsDirty(i.Service)
	last := len(c.targets) - 1
	c.targets[n] = c.targets[last]
	c.targetIndex[c.targets[n].handle.Info().ID] = n
	delete(c.targetIndex, i.ID)
	c.targets = c.targets[:last]
}

// UpdateMembers applies the platform's list of entry instances.
func (c *Control) UpdateMembers(now time.Time, l []Member) {
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
			p.firstSeen = now
		}
		p.listed = seen[p.id]
	}
}

// PeerAnswered handles a call that a peer answered.
func (c *Control) PeerAnswered(now time.Time, id string) {
	for i := range c.peers {
		if p := &c.peers[i]; p.id == id {
			p.lastMessage, p.lastExchange = now, now
		}
	}
}

func (c *Control) ensurePeer(now time.Time, m Member) *peer {
	if m.ID == c.o.ID || m.ID == "" {
		return nil
	}
	for i := range c.peers {
		if p := &c.peers[i]; p.id == m.ID {
			if m.Incarnation != "" && p.listedIncarnation != m.Incarnation {
				p.listedIncarnation = m.Incarnation
				// The previous process refused the connection.
				p.refusedAt = time.Time{}
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
	c.peers = append(c.peers, peer{id: m.ID, failureDomain: m.FailureDomain, addr: m.Addr, capacity: m.Capacity, listedIncarnation: m.Incarnation, firstSeen: now, evidence: map[evidenceKey]counts{}})
	c.o.Event("peerJoined", m.ID, m.Addr)
	c.limitsDirty = true
	return &c.peers[len(c.peers)-1]
}

// PeerFailed handles a failed call to a peer. If refused is set, the peer's host
// refused the connection, so no process listens there.
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
		p.refusedAt = now
	}
}

// runMembership takes unlisted targets out of use after their grace period and drops
// the rows of targets and peers that have been away for their retention time.
func (c *Control) runMembership(now time.Time) {
	for i := len(c.targets) - 1; i >= 0; i-- {
		c.removeAfterGrace(now, &c.targets[i])
		if u := c.targets[i].unlistedAt; !u.IsZero() && now.Sub(u) > targetRetention {
			c.dropTarget(i)
		}
	}
	n := len(c.peers)
	c.peers = slices.DeleteFunc(c.peers, func(p peer) bool {
		last := later(p.lastMessage, p.firstSeen)
		away := gonePeerRetention
		if !p.gone() && !c.o.ListOnly {
			away = peerRetention
		}
		forget := !p.listed && now.Sub(last) > away
		if forget {
			c.retire(&p, p.incarnation)
		}
		return forget
	})
	if len(c.peers) != n {
		c.limitsDirty = true
	}
}

// Peers returns the entry instances to exchange state with.
func (c *Control) Peers() []Member {
	m := make([]Member, 0, len(c.peers))
	for i := range c.peers {
		p := &c.peers[i]
		m = append(m, p.member())
	}
	return m
}

// mergeRow merges a peer's row of a target. Of two incarnations, the one first seen
// later is the newer one.
func (c *Control) mergeRow(now time.Time, r *cowslipmessage.TargetRow) {
	n, ok := c.targetIndex[r.GetId()]
	if !ok || r.GetIncarnation() == "" {
		return
	}
	t := &c.targets[n]
	since := now.Add(-time.Duration(r.GetAgeMillis()) * time.Millisecond)
	changed := false
	switch {
	case t.incarnation == "":
		t.beginIncarnation(r.GetIncarnation(), since, r.GetCold())
		changed = true
	case t.incarnation != r.GetIncarnation():
		if !since.After(t.warmupStart) {
			return
		}
		t.beginIncarnation(r.GetIncarnation(), since, r.GetCold())
		t.selfLeaving = false
		c.resetRestarted(t)
		changed = true
	case r.GetCold() && since.Sub(t.warmupStart) > time.Second:
		t.warmupStart, t.cold = since, true
		changed = true
	case !t.cold && t.warmupStart.Sub(since) > time.Second:
		t.warmupStart = since
		changed = true
	}
	if r.GetLeaving() && t.incarnation == r.GetIncarnation() && !t.selfLeaving {
		t.selfLeaving = true
		c.updateLeaving(t, "reported leaving by a peer")
		return
	}
	if changed {
		c.updateLeaving(t, "new incarnation reported by a peer")
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
