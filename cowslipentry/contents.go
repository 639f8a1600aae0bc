package cowslipentry

import (
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmirror"
)

// applyUpdate applies an update to the mirror and passes the new content to the
// control state. It handles one update at a time, so that older content from one
// source cannot reach the control state after newer content from another one.
func (e *Entry) applyUpdate(u cowslipmirror.Update, from string) {
	e.applyMu.Lock()
	defer e.applyMu.Unlock()
	before, confirmed := e.mirror.Revision(), e.mirror.ConfirmedAt()
	outage := !confirmed.IsZero() && e.clock.Since(confirmed) > e.staleAge()
	now := e.clock.Now()
	if !e.mirror.Apply(u) && !e.retainer.Due(now) {
		return
	}
	if e.firstMirrored.Load() == nil {
		e.firstMirrored.Store(&now)
	}
	r := e.mirror.Revision()
	codec := e.currentSettings().storeCodec
	e.retainer.Of = codec.Retention
	newEra := !before.IsZero() && !r.SameEra(before)
	if newEra {
		e.retainer.Begin(now, r)
		e.metrics.storeEras.Add(1)
		if e.usage != nil {
			e.usage.eraBegan()
		}
		e.log.Warn("the store has begun a new era", "before", before.String(), "now", r.String(), "from", from)
	}
	values := e.mirror.Values()
	b, problems := codec.Decode(e.retainer.Values(now, values))
	e.storeProblems.update(e.log, problems)
	members := e.decodeMembers(values)
	crashes := e.decodeCrashes(values)
	e.guardSharedCrashes(crashes)
	clearings, holds := e.decodeClearings(values), e.decodeHolds(values)
	withdrawals := e.decodeWithdrawals(values)
	backBy := lapseReturnTime + e.shareOfStaleAge(changeShare)
	e.do(func(now time.Time, c *cowslipcontrol.Control) {
		if newEra {
			c.EraBegan(now, r, now.Add(backBy))
		}
		c.UpdateMembers(now, members)
		c.UpdateClearings(now, clearings)
		c.UpdateSharedCrashes(now, crashes)
		c.UpdateHolds(now, holds)
		if b.ConfigText != "" && b.ConfigText != c.Accepted().Text {
			c.Offer(cowslipcontrol.Accepted{Revision: r.Number(), Era: r.Era(), Text: b.ConfigText}, from)
		}
		if outage {
			c.StoreReturned(now.Add(backBy))
		}
		c.UpdateTargets(now, b.Targets)
		c.UpdateWithdrawals(now, withdrawals)
		if confirmed.IsZero() && e.isMirrorConfirmed() {
			c.RemoveUnlisted()
		}
		applyMoveRecords(c, r, b.Moves...)
	})
}
