package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
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

// applyMoveRecords passes the records of moves that the store showed at its revision asOf to the
// control state.
func applyMoveRecords(c *cowslipcontrol.Control, asOf cowslipplatform.Revision, l ...MoveRecord) {
	for _, x := range l {
		c.MoveRecordRead(x.Move, x.Revision, asOf, x.State.record())
		if x.State == MoveDone || x.State == MoveTakenBack {
			c.Outcome(&cowslipmessage.Outcome{Move: x.Move, Done: x.State == MoveDone})
		}
	}
}

// recordOutcomeWithCodec records the outcome of a move in the format of a platform with
// its own Edge, in place of the revision of its record on which the outcome was decided. It
// returns the time after which it may be tried again.
func (e *Entry) recordOutcomeWithCodec(ctx context.Context, o *cowslipmessage.Outcome, expect cowslipplatform.Revision) time.Duration {
	var m cowslipconfig.Move
	found := false
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		for _, x := range c.Config().Moves() {
			if x.ID() == o.GetMove() {
				m, found = x, true
			}
		}
	})
	if !found {
		return moveRecordRetryInterval
	}
	s := MoveTakenBack
	if o.GetDone() {
		s = MoveDone
	}
	written, wait := e.recordMoveState(ctx, m, s, expect)
	if written {
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(o) })
	}
	return wait
}

// recordMoveState replaces the record of a move if the store still holds the expected revision
// of its key. It reports whether the write succeeded, and the time after which another one may
// be tried.
func (e *Entry) recordMoveState(ctx context.Context, m cowslipconfig.Move, s MoveState, expect cowslipplatform.Revision) (written bool, wait time.Duration) {
	t, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	k, b := e.currentSettings().storeCodec.EncodeMove(m, s)
	n, err := e.opts.Store.Put(t, cowslipplatform.Write{Key: k, Data: b, Expect: expect})
	if err != nil {
		e.log.Warn("moveNotRecorded", "move", m.ID(), "state", string(s), "expected", expect.String(), "error", err)
		if (errors.Is(err, cowslipplatform.ErrConflict) || errors.Is(err, cowslipplatform.ErrEraEnded)) && e.readMoveRecord(t, m, k) {
			return false, 0
		}
		return false, moveRecordRetryInterval
	}
	e.event("moveRecorded", m.ID(), string(s))
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.MoveRecordRead(m.ID(), n, n, s.record()) })
	return true, moveRecordRetryInterval
}

// readMoveRecord passes the record of a move to the control state, which decides anew, and
// reports whether it could be read.
func (e *Entry) readMoveRecord(ctx context.Context, m cowslipconfig.Move, key string) bool {
	v, err := e.opts.Store.Get(ctx, key)
	if err != nil {
		e.log.Info("record of a move not read", "move", m.ID(), "reason", err)
		return false
	}
	r := e.currentSettings().storeCodec.DecodeMove(m, v)
	e.log.Info("record of a move differs from the expected one", "move", m.ID(), "state", string(r.State), "revision", r.Revision.String())
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { applyMoveRecords(c, v.Revision, r) })
	return true
}
