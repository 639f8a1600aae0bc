package cowslipcontrol

import (
	"fmt"
	"time"

	"cowslipflow/cowsliproute"
)

// platformState is the state of the platform as this instance last saw it.
type platformState struct {
	confirmed      time.Time // start of the last call that confirmed the revision in force
	reportedBehind uint64    // 1 + the stale revision of the store last reported as an event, 0 if the store is not behind
	down           bool
}

// Stored handles the configuration in the platform's store, read by a call that
// began at start. A zero Accepted means that the store holds none. A store with a
// revision older than the one in force is reported and repaired, and its
// configuration is ignored.
func (c *Control) Stored(start time.Time, a Accepted) {
	if c.platform.down {
		c.platform.down = false
		c.o.Event("platformReturned", "", "the platform answers again")
	}
	if a.Revision > 0 {
		c.Offer(a, "the platform")
	}
	if a.At().Before(c.accepted.At()) {
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

// PlatformFailed handles a call to the platform that received no response.
func (c *Control) PlatformFailed() {
	if !c.platform.down {
		c.platform.down = true
		c.o.Event("platformUnreachable", "", "peers confirm the configuration meanwhile")
	}
}

// confirm records that the configuration in force was current at the given time.
func (c *Control) confirm(at time.Time) {
	if at.After(c.confirmedAt) {
		c.confirmedAt = at
	}
}

// Resumed handles a pause of the process that ended at now. Pauses that the times of the ticks
// show need not be told. A further call at the same time changes nothing.
func (c *Control) Resumed(now time.Time, pause time.Duration) {
	if c.pausedUntil.Equal(now) {
		return
	}
	c.o.Event("stoodStill", c.o.ID, pause.Round(time.Millisecond).String())
	c.quietUntil = now.Add(ResumeQuietPeriod)
	c.pausedUntil = now
	c.effects.Push = true
}

// runFreshness returns until when the configuration in force counts as confirmed.
// When the platform is unreachable, recent answers of all known peers confirm it,
// since an edit can only be accepted through one of them. With Options.ListOnly it
// stays confirmed. After a process pause, nothing is sent for ResumeQuietPeriod
// unless a new confirmation arrives.
func (c *Control) runFreshness(now time.Time) (confirmedUntil time.Time) {
	if gap := now.Sub(c.lastTick); gap > ViewTTL {
		c.Resumed(now, gap)
	}
	if t, ok := c.oldestPeerAnswer(now); ok && c.accepted.Revision > 0 {
		c.confirm(t)
	}
	if c.o.ListOnly && c.accepted.Revision > 0 {
		c.confirm(now)
	}
	valid := c.confirmedAt.Add(ConfirmationTTL)
	if c.quietUntil.After(now) && !c.confirmedAt.After(c.quietUntil.Add(-ResumeQuietPeriod)) {
		valid = now
	}
	return valid
}

// publishFreshness makes the confirmation visible to requests. It must follow the steps
// that set limits and publish the view: a request that has waited for the confirmation
// may hold an older view, and is sent at once.
func (c *Control) publishFreshness(now, confirmedUntil time.Time) {
	c.freshness.Set(confirmedUntil, now.Add(ViewTTL), c.quietUntil)
	s := c.freshness.Scope(now)
	if s == c.scope {
		return
	}
	c.scope = s
	switch s {
	case cowsliproute.ScopeAll:
		c.o.Event("confirmed", c.o.ID, "revision "+c.accepted.At().String())
	case cowsliproute.ScopeOwnDomain:
		c.o.Event("cutOff", c.o.ID, "only targets of failure domain "+c.o.FailureDomain+" are asked")
	}
}

// oldestPeerAnswer returns a time since which all peers that can accept an edit
// have answered. It returns false if there are no such peers, or if one of them has
// never answered or has a newer revision. Peers that are leaving, or whose hosts refuse
// connections, are left out, since they run no process that accepts edits.
func (c *Control) oldestPeerAnswer(now time.Time) (time.Time, bool) {
	t := now
	n := 0
	for i := range c.peers {
		p := &c.peers[i]
		if p.gone() {
			continue
		}
		n++
		if p.revision.After(c.accepted.At()) || p.lastExchange.IsZero() {
			return time.Time{}, false
		}
		if p.lastExchange.Before(t) {
			t = p.lastExchange
		}
	}
	return t, n > 0
}
