package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
)

// moveLoop exchanges state, including evidence on the versions, with the judges of the
// moves under way: the instances that decide the outcome of a move.
func (e *Entry) moveLoop() { e.exchangeLoop(e.judgeAddrs) }

// judgeAddrs returns the addresses of the judges of the moves under way, by ID.
func (e *Entry) judgeAddrs() map[string]string {
	m := map[string]string{}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		for _, p := range c.MovePeers() {
			m[p.ID] = p.Addr
		}
	})
	return m
}

// applyMoveRecords passes the records of moves in the store to the control state.
func applyMoveRecords(c *cowslipcontrol.Control, l []MoveRecord) {
	for _, x := range l {
		switch x.State {
		case MoveRunning:
			c.MoveStartRecorded(x.Move)
		case MoveDone, MoveTakenBack:
			c.Outcome(&cowslipmessage.Outcome{Move: x.Move, Done: x.State == MoveDone})
		}
	}
}

// recordOutcomeWithCodec records the outcome of a move in the format of a platform with
// its own Edge. If another instance was faster, its record applies and arrives through
// the mirror.
func (e *Entry) recordOutcomeWithCodec(ctx context.Context, o *cowslipmessage.Outcome) {
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
	if found && e.recordMoveState(ctx, m, s) {
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(o) })
	}
}

// recordMoveState replaces the record of a move if the store still holds the revision
// that the mirror has. It reports whether the write succeeded.
func (e *Entry) recordMoveState(ctx context.Context, m cowslipconfig.Move, s MoveState) bool {
	t, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	k, b := e.currentSettings().storeCodec.EncodeMove(m, s)
	v, _ := e.mirror.Get(k) // a key that does not exist has revision 0
	if _, err := e.opts.Store.Put(t, cowslipplatform.Write{Key: k, Data: b, Expect: v.Revision}); err != nil {
		e.log.Warn("moveNotRecorded", "move", m.ID(), "state", string(s), "revision", v.Revision, "error", err)
		return false
	}
	e.event("moveRecorded", m.ID(), string(s))
	return true
}
