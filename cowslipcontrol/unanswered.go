package cowslipcontrol

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

const (
	// RunEndWait is how long the end of a target's run counts as a crash under a request
	// that it has not answered. The platform takes some seconds to drop the entry of a
	// target that falls silent.
	RunEndWait = 10 * time.Second
	// maxUnanswered bounds the table of unanswered requests; the oldest are dropped first.
	maxUnanswered = 512
)

// unanswered is a row of the table of requests that a target has not answered.
type unanswered struct {
	crash Crash // if the target's run ends
	at    time.Time
}

// Unanswered records a request that ended at a time and that no target of the service has
// answered, with the targets that have not visibly crashed. Those whose run ends soon without
// being planned count as crashed under the request, unless it is answered before.
func (c *Control) Unanswered(at time.Time, l ...Crash) {
	for _, x := range l {
		c.unanswered = append(c.unanswered, unanswered{crash: x, at: at})
	}
	c.unanswered = c.unanswered[max(len(c.unanswered)-maxUnanswered, 0):]
}

// runUnanswered turns unanswered requests into crashes if the run of their target has ended.
func (c *Control) runUnanswered(now time.Time) {
	c.unanswered = slices.DeleteFunc(c.unanswered, func(u unanswered) bool {
		if c.o.AnsweredSince(now, u.at, u.crash.Fingerprint) {
			return true
		}
		ended, planned := c.runEnded(u.crash)
		if ended && !planned && c.Crashed(now, u.crash) {
			c.effects.Crashes = append(c.effects.Crashes, c.share(u.crash))
		}
		return ended || planned || now.Sub(u.at) > RunEndWait
	})
}

// runEnded reports whether the run of a target that a request was sent to has ended, and
// whether it is ending as planned.
func (c *Control) runEnded(x Crash) (ended, planned bool) {
	planned = c.stoppedAfterMove(x.Target.Info())
	n, ok := c.targetIndex[x.Target.Info().ID]
	if !ok {
		return true, planned
	}
	t := &c.targets[n]
	return t.incarnation != x.Incarnation || t.removed, planned || t.listLeaving || t.selfLeaving
}

// stoppedAfterMove reports whether the service of a target has moved from its version to another
// one. The platform then stops such targets without notice.
func (c *Control) stoppedAfterMove(i cowsliproute.TargetInfo) bool {
	for n := range c.moves {
		m := &c.moves[n].config
		side, ok := m.Side(i.Version)
		if ok && m.Service() == i.Service && side != m.To() && c.outcomes[m.ID()].GetDone() {
			return true
		}
	}
	return false
}
