package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
)

// moveLoop exchanges evidence with the instances that judge the moves under way.
func (e *Entry) moveLoop() { e.peerLoop(e.judgeAddrs) }

// judgeAddrs gives the addresses of the instances that judge moves, by ID.
func (e *Entry) judgeAddrs() map[string]string {
	m := map[string]string{}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		for _, p := range c.MovePeers() {
			m[p.ID] = p.Addr
		}
	})
	return m
}

// learnMoves takes in what the store has on record of moves.
func learnMoves(c *cowslipcontrol.Control, l []MoveRecord) {
	for _, x := range l {
		switch x.State {
		case MoveRunning:
			c.MoveStartRecorded(x.Move)
		case MoveDone, MoveTakenBack:
			c.Outcome(&cowslipmessage.Outcome{Move: x.Move, Done: x.State == MoveDone})
		}
	}
}

// recordEnd puts the end of a move on the platform's record. The first one stands:
// where another was quicker, the copy of the store tells of it.
func (e *Entry) recordEnd(ctx context.Context, o *cowslipmessage.Outcome) {
	var m cowslipconfig.Move
	found := false
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		for _, x := range c.Config().Moves() {
			if x.ID() == o.GetMove() {
				m, found = x, true
			}
		}
	})
	s := MoveTakenBack
	if o.GetDone() {
		s = MoveDone
	}
	if found && e.recordMove(ctx, m, s) {
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(o) })
	}
}

// recordMove writes how a move stands over what the copy of the store holds, and
// tells whether that is on record now.
func (e *Entry) recordMove(ctx context.Context, m cowslipconfig.Move, s MoveState) bool {
	t, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k, b := e.tuned().facts.EncodeMove(m, s)
	v, _ := e.mirror.Get(k) // a key that does not exist has revision 0
	if _, err := e.o.Store.Put(t, cowslipplatform.Write{Key: k, Data: b, Expect: v.Revision}); err != nil {
		e.log.Warn("moveNotRecorded", "move", m.ID(), "state", string(s), "revision", v.Revision, "error", err)
		return false
	}
	e.event("moveRecorded", m.ID(), string(s))
	return true
}
