package cowslipcontrol

import (
	"maps"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
)

// Withdrawal tells all instances, through the store, that a version of a service gets no requests,
// since the move to it was taken back. It holds until operators order a move to the version again.
type Withdrawal struct {
	Service  string                   `json:"service"`
	Version  string                   `json:"version"`
	Move     string                   `json:"move"` // ID of the move that was taken back
	Revision cowslipplatform.Revision `json:"-"`    // of the store; zero if the store does not show it
}

// versionKey identifies a version of a service.
type versionKey struct {
	service, version string
}

// withdrawal is a row of the table of withdrawn versions.
type withdrawal struct {
	move string
	at   time.Time // when this instance learned of it
}

// withdraw takes the new version of a move out of use for as long as it has targets.
func (c *Control) withdraw(now time.Time, m cowslipconfig.Move) {
	c.withdrawVersion(now, Withdrawal{Service: m.Service(), Version: m.To(), Move: m.ID()})
}

func (c *Control) withdrawVersion(now time.Time, w Withdrawal) {
	k := versionKey{w.Service, w.Version}
	if x, ok := c.withdrawn[k]; ok && x.move == w.Move {
		return
	}
	c.withdrawn[k] = withdrawal{move: w.Move, at: now}
	c.o.Event("versionWithdrawn", w.Move, "version "+w.Version+" gets no requests until a move to it is ordered again")
	c.limitsDirty = true
	c.markTargetsDirty(w.Service)
}

// isWithdrawn reports whether the version of a target gets no requests.
func (c *Control) isWithdrawn(i cowsliproute.TargetInfo) bool {
	_, ok := c.withdrawn[versionKey{i.Service, i.Version}]
	return ok
}

// readmitOrdered puts versions in use again that the configuration states for a service, or orders a
// move to, other than the one that was taken back.
func (c *Control) readmitOrdered() {
	for _, s := range c.config.Services() {
		c.readmit(versionKey{s.Name(), s.Version()})
	}
	for _, m := range c.config.Moves() {
		if k := (versionKey{m.Service(), m.To()}); c.withdrawn[k].move != m.ID() {
			c.readmit(k)
		}
	}
}

// readmit puts a version in use again.
func (c *Control) readmit(k versionKey) {
	if _, ok := c.withdrawn[k]; ok {
		delete(c.withdrawn, k)
		c.limitsDirty = true
		c.markTargetsDirty(k.service)
	}
}

// UpdateWithdrawals handles the withdrawals that the store shows.
func (c *Control) UpdateWithdrawals(now time.Time, l []Withdrawal) {
	if len(l) == 0 && len(c.shownWithdrawals) == 0 {
		return
	}
	c.shownWithdrawals = make(map[versionKey]Withdrawal, len(l))
	for _, w := range l {
		c.shownWithdrawals[versionKey{w.Service, w.Version}] = w
		if c.lives(w) && !c.isOrderedAgain(w) {
			c.withdrawVersion(now, w)
		}
	}
}

// isOrderedAgain reports whether the configuration has a move to the version of a withdrawal that
// is not the one that was taken back.
func (c *Control) isOrderedAgain(w Withdrawal) bool {
	for _, m := range c.config.Moves() {
		if m.Service() == w.Service && m.To() == w.Version && m.ID() != w.Move {
			return true
		}
	}
	return false
}

// lives reports whether a withdrawn version has targets.
func (c *Control) lives(w Withdrawal) bool {
	for i := range c.targets {
		if x := c.targets[i].handle.Info(); x.Service == w.Service && x.Version == w.Version {
			return true
		}
	}
	return false
}

// WithdrawalWritten records that the store has accepted a withdrawal, at its Revision.
func (c *Control) WithdrawalWritten(w Withdrawal) {
	if c.shownWithdrawals == nil {
		c.shownWithdrawals = map[versionKey]Withdrawal{}
	}
	c.shownWithdrawals[versionKey{w.Service, w.Version}] = w
}

// runWithdrawals forgets versions that have no targets any longer, and asks for those to be
// written that the store does not show. One instance writes them at once, the others if it does
// not.
func (c *Control) runWithdrawals(now time.Time) {
	maps.DeleteFunc(c.withdrawn, func(k versionKey, x withdrawal) bool {
		w := Withdrawal{Service: k.service, Version: k.version, Move: x.move}
		if !c.lives(w) {
			return true
		}
		shown := c.shownWithdrawals[k]
		w.Revision = shown.Revision
		if shown.Move != x.move && (now.Sub(x.at) >= restoreDelay || c.amongFirst(x.move, c.senders().ids, 1)) {
			c.effects.Withdrawals = append(c.effects.Withdrawals, w)
		}
		return false
	})
}
