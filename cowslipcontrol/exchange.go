package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
)

// State returns the message for the peer with the given ID. With Options.ListOnly, it
// includes the progress of moves. Otherwise, it includes the members, the target rows
// that the peer lacks and, if the revision that the peer last reported is older, the
// configuration.
func (c *Control) State(now time.Time, id string) *cowslipmessage.State {
	s := &cowslipmessage.State{
		Id: c.o.ID, FailureDomain: c.o.FailureDomain, Incarnation: c.o.Incarnation, Addr: c.o.Addr, Leaving: c.leaving,
		Revision: c.accepted.Revision, Era: c.accepted.Era, ConfirmedAgeMillis: -1, Seq: c.seq, Crashes: c.crashMessages(now),
	}
	for i := range c.moves {
		for k, x := range c.moves[i].localEvidence {
			s.Evidence = append(s.Evidence, evidenceMessage(k, x))
		}
	}
	for _, x := range c.stops {
		s.Stops = append(s.Stops, x)
	}
	for _, x := range c.outcomes {
		s.Outcomes = append(s.Outcomes, x)
	}
	if !c.confirmedAt.IsZero() {
		s.ConfirmedAgeMillis = now.Sub(c.confirmedAt).Milliseconds() + 1
	}
	if c.o.ListOnly {
		s.Progress = c.progressMessages(now)
		return s
	}
	for _, m := range c.Peers() {
		s.Members = append(s.Members, &cowslipmessage.Member{Id: m.ID, FailureDomain: m.FailureDomain, Addr: m.Addr})
	}
	p := c.peer(id)
	if p == nil {
		return s
	}
	s.HaveSeq = p.haveSeq
	s.Targets = c.rowsAfter(now, p.ackSeq)
	if p.revision.Before(c.accepted.At()) {
		// Encoding a decoded value cannot fail.
		s.Accepted, _ = c.accepted.Encode()
	}
	return s
}

func (c *Control) rowsAfter(now time.Time, seq uint64) []*cowslipmessage.TargetRow {
	var l []*cowslipmessage.TargetRow
	for i := range c.targets {
		t := &c.targets[i]
		if t.seq > seq && t.incarnation != "" {
			l = append(l, &cowslipmessage.TargetRow{Id: t.handle.Info().ID, Incarnation: t.incarnation, AgeMillis: now.Sub(t.warmupStart).Milliseconds(), Leaving: t.selfLeaving, Cold: t.cold})
		}
	}
	return l
}

func (c *Control) peer(id string) *peer {
	for i := range c.peers {
		if c.peers[i].id == id {
			return &c.peers[i]
		}
	}
	return nil
}

// Message handles a message from a peer. If it is the answer to an exchange that this
// instance began, start is when the exchange began. If the peer began the exchange,
// start is zero, since nothing then bounds the age of the message.
func (c *Control) Message(now, start time.Time, s *cowslipmessage.State) {
	p := c.ensurePeer(now, Member{ID: s.GetId(), FailureDomain: s.GetFailureDomain(), Addr: s.GetAddr()})
	if p == nil {
		return
	}
	c.updatePeer(now, p, s)
	for _, m := range s.GetMembers() {
		c.ensurePeer(now, Member{ID: m.GetId(), FailureDomain: m.GetFailureDomain(), Addr: m.GetAddr()})
	}
	p = c.peer(s.GetId())
	if b := s.GetAccepted(); len(b) > 0 {
		if a, err := DecodeAccepted(b); err != nil {
			c.o.Event("messageRejected", s.GetId(), err.Error())
		} else {
			c.Offer(a, "peer "+s.GetId())
		}
	}
	if !start.IsZero() {
		p.lastExchange = start
		if s.GetConfirmedAgeMillis() >= 0 && revisionOf(s) == c.accepted.At() && s.GetRevision() > 0 {
			c.confirm(start.Add(-time.Duration(s.GetConfirmedAgeMillis()) * time.Millisecond))
		}
	}
	for _, r := range s.GetTargets() {
		c.mergeRow(now, r)
	}
	p.haveSeq = s.GetSeq()
	p.ackSeq = s.GetHaveSeq()
	c.mergeEvidence(now, p, s.GetEvidence())
	c.mergeProgress(now, s.GetProgress())
	for _, o := range s.GetOutcomes() {
		c.Outcome(o)
	}
	for _, x := range s.GetStops() {
		c.mergeStop(x)
	}
	for _, x := range s.GetCrashes() {
		c.addCrash(crash{fingerprint: x.GetFingerprint(), incident: x.GetIncident(), endedRun: x.GetDeath(), service: x.GetService(), version: x.GetVersion(), at: now.Add(-time.Duration(x.GetAgeMillis()) * time.Millisecond)})
	}
}

func (c *Control) updatePeer(now time.Time, p *peer, s *cowslipmessage.State) {
	if p.incarnation != s.GetIncarnation() {
		c.retire(p, p.incarnation)
		p.incarnation = s.GetIncarnation()
		p.haveSeq, p.ackSeq = 0, 0
		c.limitsDirty = true
	}
	if p.gone() || p.leaving != s.GetLeaving() {
		c.limitsDirty = true
	}
	if s.GetLeaving() && !p.leaving {
		c.o.Event("peerLeaving", p.id, "")
	}
	p.leaving = s.GetLeaving()
	p.lastMessage = now
	p.revision = revisionOf(s)
}

// revisionOf returns the revision of the configuration that the sender of a state has in force.
func revisionOf(s *cowslipmessage.State) cowslipplatform.Revision {
	return cowslipplatform.NewRevision(s.GetEra(), s.GetRevision())
}

func (c *Control) mergeStop(x *cowslipmessage.Stop) {
	if c.stops[x.GetMove()] != nil || c.outcomes[x.GetMove()] != nil {
		return
	}
	c.stops[x.GetMove()] = x
	c.effects.Push = true
	for i := range c.moves {
		if c.moves[i].config.ID() == x.GetMove() {
			c.withdraw(c.lastTick, c.moves[i].config)
			c.markMove(&c.moves[i])
		}
	}
}
