package cowslipcontrol

import (
	"fmt"
	"time"

	"cowslipflow/cowsliproute"
)

// platformState is what is known of the platform's service.
type platformState struct {
	confirmed      time.Time // start of the last call that confirmed the revision in force
	reportedBehind uint64    // the older revision that the store was last seen with
	down           bool
}

// Stored handles the store's configuration, read by a call that started at
// start. A zero Accepted means that the store holds none. A store that fell
// behind is reported, repaired and not obeyed.
func (c *Control) Stored(start time.Time, a Accepted) {
	if c.platform.down {
		c.platform.down = false
		c.o.Event("platformReturned", "", "the platform answers again")
	}
	if a.Revision > 0 {
		c.Offer(a, "the platform")
	}
	if a.Revision < c.accepted.Revision {
		if c.platform.reportedBehind != a.Revision+1 {
			c.platform.reportedBehind = a.Revision + 1
			c.o.Event("storeBehind", fmt.Sprint(a.Revision), fmt.Sprintf("revision %d stays in force", c.accepted.Revision))
		}
		c.effects.Repair = true
		return
	}
	c.platform.reportedBehind = 0
	c.platform.confirmed = start
	c.confirm(start)
}

// PlatformFailed handles a call to the platform that brought no answer.
func (c *Control) PlatformFailed() {
	if !c.platform.down {
		c.platform.down = true
		c.o.Event("platformUnreachable", "", "peers confirm the configuration meanwhile")
	}
}

func (c *Control) confirm(at time.Time) {
	if at.After(c.confirmed) {
		c.confirmed = at
	}
}

// runFreshness decides how long the configuration in force counts as current.
// Without the platform it does if every known peer was heard lately: an edit
// can only be accepted through one of them.
func (c *Control) runFreshness(now time.Time) {
	gap := now.Sub(c.ticked)
	if gap > LiveLimit {
		c.o.Event("stoodStill", c.o.ID, gap.Round(time.Millisecond).String())
		c.hold = now.Add(HoldAfterGap)
	}
	if t, ok := c.oldestPeerAnswer(now); ok && c.accepted.Revision > 0 {
		c.confirm(t)
	}
	if c.o.Listed && c.accepted.Revision > 0 {
		c.confirm(now)
	}
	valid := c.confirmed.Add(ConfirmLimit)
	if c.hold.After(now) && !c.confirmed.After(c.hold.Add(-HoldAfterGap)) {
		valid = now
	}
	c.freshness.Set(valid, now.Add(LiveLimit), c.hold)
	s := c.freshness.Scope(now)
	if s == c.scope {
		return
	}
	c.scope = s
	switch s {
	case cowsliproute.ScopeAll:
		c.o.Event("confirmed", c.o.ID, fmt.Sprintf("revision %d", c.accepted.Revision))
	case cowsliproute.ScopeOwn:
		c.o.Event("cutOff", c.o.ID, "only targets of failure domain "+c.o.FailureDomain+" are asked")
	}
}

// oldestPeerAnswer returns the oldest of the last answers of all peers that may accept
// an edit. A peer whose host refuses connections runs no process that could.
func (c *Control) oldestPeerAnswer(now time.Time) (time.Time, bool) {
	t := now
	n := 0
	for i := range c.peers {
		p := &c.peers[i]
		if p.gone() {
			continue
		}
		n++
		if p.revision > c.accepted.Revision || p.answered.IsZero() {
			return time.Time{}, false
		}
		if p.answered.Before(t) {
			t = p.answered
		}
	}
	return t, n > 0
}
