package cowslipcontrol

import (
	"cmp"
	"slices"
	"time"

	"cowslipflow/cowslipmessage"
)

const (
	// judgeCount is the number of instances that pool and evaluate the evidence of
	// a move with Options.ListOnly, where instances don't all exchange their state.
	// With 3, one may fail while another one is cut off.
	judgeCount = 3
)

// judges returns the IDs of the instances that pool and evaluate the evidence of a
// move, chosen by rendezvous hashing.
func (c *Control) judges(move string) []string {
	l := slices.Clone(c.senders().ids)
	slices.SortFunc(l, func(a, b string) int { return cmp.Compare(rendezvousScore(move, b), rendezvousScore(move, a)) })
	return l[:min(len(l), judgeCount)]
}

// assignRoles decides whether this instance sends the canary requests of a move,
// and whether it is a judge of the move. With Options.ListOnly, the sender of the
// canary requests also requests that the start of the move be recorded.
func (c *Control) assignRoles(now time.Time, m *move) {
	id := m.config.ID()
	joined := now.Sub(c.startedAt) >= JoinGrace
	canary := joined && c.amongFirst(id, c.senders().ids, 1)
	if canary != m.sendsCanary {
		m.sendsCanary = canary
		c.markMove(m)
	}
	m.isJudge = !c.o.ListOnly || slices.Contains(c.judges(id), c.o.ID)
	if c.o.ListOnly && canary && c.moveRecords[id].state == RecordMissing && c.outcomes[id] == nil {
		c.effects.Started = append(c.effects.Started, m.config)
		c.expectRecord(id)
	}
}

// MovePeers returns the peers to exchange state with for the moves under way: the
// judges of these moves.
func (c *Control) MovePeers() []Member {
	var l []Member
	for i := range c.moves {
		id := c.moves[i].config.ID()
		if c.outcomes[id] != nil {
			continue
		}
		for _, j := range c.judges(id) {
			if p := c.peer(j); p != nil && !slices.Contains(l, p.member()) {
				l = append(l, p.member())
			}
		}
	}
	return l
}

// publishShare publishes the traffic share of a move that is under way, which changes with
// time and with the requests that this instance has sent.
func (c *Control) publishShare(m *move) {
	if c.outcomes[m.config.ID()] == nil && c.stops[m.config.ID()] == nil {
		c.markMove(m)
	}
}

// progressMessages returns the progress of the moves that this instance judges,
// for instances that don't.
func (c *Control) progressMessages(now time.Time) []*cowslipmessage.Progress {
	var l []*cowslipmessage.Progress
	for i := range c.moves {
		m := &c.moves[i]
		if !m.isJudge {
			continue
		}
		for n, r := range m.routes {
			if !r.evidenceAt.IsZero() {
				l = append(l, &cowslipmessage.Progress{Move: m.config.ID(), Route: n, AgeMillis: now.Sub(r.evidenceAt).Milliseconds()})
			}
		}
	}
	return l
}

// mergeProgress merges the progress of moves that a peer sent. For each route the
// earliest time at which the evidence sufficed is kept.
func (c *Control) mergeProgress(now time.Time, l []*cowslipmessage.Progress) {
	for _, x := range l {
		for i := range c.moves {
			m := &c.moves[i]
			if m.config.ID() != x.GetMove() {
				continue
			}
			at := now.Add(-time.Duration(x.GetAgeMillis()) * time.Millisecond)
			if r := m.route(x.GetRoute()); r.evidenceAt.IsZero() || at.Before(r.evidenceAt) {
				r.evidenceAt = at
				c.markMove(m)
			}
		}
	}
}
