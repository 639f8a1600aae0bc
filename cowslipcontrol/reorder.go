package cowslipcontrol

import (
	"maps"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipmessage"
)

// reorderTime is how long after the store has come back from an older copy an order that is like
// a known one is taken for the same, which operators have written again.
const reorderTime = 12 * time.Second

// reorderedMove returns the row of a configured move that operators ordered before the store came
// back from an older copy, and false if there is none. They have written the order again, so
// that its number differs.
func (c *Control) reorderedMove(m cowslipconfig.Move) (move, bool) {
	if c.eraBeganAt.IsZero() || c.lastTick.Sub(c.eraBeganAt) > reorderTime {
		return move{}, false
	}
	for i := range c.moves {
		x := &c.moves[i]
		if k := x.config; k.Service() == m.Service() && k.To() == m.To() && k.Within() == m.Within() && m.Order() != 0 && !c.isConfigured(k) {
			c.o.Event("moveReordered", m.ID(), "was "+k.ID())
			c.renameMove(x, m)
			return *x, true
		}
	}
	return move{}, false
}

func (c *Control) isConfigured(m cowslipconfig.Move) bool {
	for _, x := range c.config.Moves() {
		if x.ID() == m.ID() {
			return true
		}
	}
	return false
}

// renameMove gives a row another configuration, and all that is known of the move its new ID.
func (c *Control) renameMove(r *move, m cowslipconfig.Move) {
	from, to := r.config.ID(), m.ID()
	r.config = m
	rename(r.localEvidence, from, to)
	rename(r.baseline, from, to)
	rename(r.comparisons, from, to)
	for _, x := range r.history {
		rename(x.pooled, from, to)
		rename(x.comparisons, from, to)
	}
	for _, x := range r.checkpoints {
		rename(x.comparisons, from, to)
	}
	for _, l := range c.departedCounts {
		rename(l, from, to)
	}
	for i := range c.peers {
		rename(c.peers[i].evidence, from, to)
	}
	if x := c.stops[from]; x != nil {
		c.stops[to] = &cowslipmessage.Stop{Move: to, Reason: x.GetReason(), By: x.GetBy()}
	}
	if x := c.outcomes[from]; x != nil {
		c.outcomes[to] = &cowslipmessage.Outcome{Move: to, Done: x.GetDone(), Reason: x.GetReason(), By: x.GetBy()}
		c.lostRecords[to] = true
	}
	if k := (versionKey{m.Service(), m.To()}); c.withdrawn[k].move == from {
		c.withdrawn[k] = withdrawal{move: to, at: c.withdrawn[k].at}
	}
	c.markMove(r)
}

// rename gives the counts of a move its new ID.
func rename[V any](l map[evidenceKey]V, from, to string) {
	for k, x := range maps.Clone(l) {
		if k.move == from {
			delete(l, k)
			k.move = to
			l[k] = x
		}
	}
}
