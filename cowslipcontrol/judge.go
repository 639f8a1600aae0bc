package cowslipcontrol

import (
	"cmp"
	"slices"
	"time"

	"cowslipflow/cowslipmessage"
)

const (
	// judgeCount is how many instances gather the evidence for a move where not all
	// exchange their state: one is lost at times, another cut off.
	judgeCount = 3
	// exposureFraction is the part of the bound on requests to an unproven version that is
	// used: requests in flight, and those of instances that are gone, are not counted.
	exposureFraction = 0.5
)

// judges ranks the instances that gather the evidence for a move.
func (c *Control) judges(move string) []string {
	l := slices.Clone(c.senders().ids)
	slices.SortFunc(l, func(a, b string) int { return cmp.Compare(rendezvous(move, b), rendezvous(move, a)) })
	return l[:min(len(l), judgeCount)]
}

// assignRoles decides whether this instance sends the canary requests of a move, and
// whether it judges the move.
func (c *Control) assignRoles(now time.Time, m *move) {
	id := m.config.ID()
	joined := now.Sub(c.started) >= JoinGrace
	canary := joined && c.chosen(id, c.senders().ids, 1)
	if canary != m.sendsCanary {
		m.sendsCanary = canary
		c.markMove(m)
	}
	m.isJudge = !c.o.Listed || slices.Contains(c.judges(id), c.o.ID)
	if c.o.Listed && canary && !c.running[id] && c.outcomes[id] == nil {
		c.effects.Started = append(c.effects.Started, m.config)
	}
}

// MoveStartRecorded notes that the platform has it on record that a move runs.
func (c *Control) MoveStartRecorded(id string) { c.running[id] = true }

// MovePeers are the instances to exchange with for the moves under way: those that
// judge them.
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

// followMove publishes the share of a move that others judge, which grows with time.
func (c *Control) followMove(m *move) {
	if c.outcomes[m.config.ID()] == nil && c.stops[m.config.ID()] == nil {
		c.markMove(m)
	}
}

// exposureExhausted tells whether this instance has sent as many requests to the new version
// of a move as the bound allows it before the version is proved.
func (c *Control) exposureExhausted(m *move) bool {
	if c.o.ExposeShare == 0 && c.o.ExposeSlack == 0 {
		return false
	}
	var sent, all float64
	for k, x := range m.localEvidence {
		all += float64(x.requests)
		if k.version == m.config.To() {
			sent += float64(x.requests)
		}
	}
	return sent >= exposureFraction*(c.o.ExposeShare*all+float64(c.o.ExposeSlack)/float64(len(c.senders().ids)))
}

// progressMessages tell instances that do not judge a move how far it is.
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

// mergeProgress takes over the progress of moves, the earliest of each route.
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
