package cowslipcontrol

import "time"

const (
	// goneTime is how long no target of the old version of a move must have been in use for the
	// version to count as gone. Targets whose entries lapsed have written them again by then.
	goneTime = 3 * time.Second
	// successorEvidence is the number of requests to the new version that a route needs before
	// the new version gets all of them because the old one is gone.
	successorEvidence = 20
	// minSuccessorRequests is how many requests an instance may send without evidence, however
	// small the bound on the requests to the new version is.
	minSuccessorRequests = 1
)

// trackOldVersion notes whether the old version of a move is gone while the new one has targets.
// An instance that does not know how the move ended must not refuse all requests until the move
// has ended again.
func (c *Control) trackOldVersion(now time.Time, m *move) {
	if c.outcomes[m.config.ID()] != nil {
		return
	}
	if m.oldSeenAt.IsZero() || c.hasOldTarget(m) {
		m.oldSeenAt = now
	}
	gone := now.Sub(m.oldSeenAt) >= goneTime && len(c.newTargets(m)) > 0
	if gone != m.oldGone {
		m.oldGone = gone
		c.markMove(m)
		if gone {
			c.o.Event("oldVersionGone", m.config.ID(), "its requests go to version "+m.config.To()+" as far as evidence and bounds allow")
		}
	}
}

func (c *Control) hasOldTarget(m *move) bool {
	for i := range c.targets {
		t := &c.targets[i]
		x := t.handle.Info()
		if side, ok := m.config.Side(x.Version); ok && side != m.config.To() && x.Service == m.config.Service() && !t.leaving() && !c.isWithdrawn(x) {
			return true
		}
	}
	return false
}

// mayTry reports whether this instance may send requests to the new version of a move whose old
// version is gone on routes without evidence.
func (x exposure) mayTry() bool { return !x.bounded || x.sent < max(x.allowed(), minSuccessorRequests) }

// neededBySuccessor returns the number of requests that a route needs before its requests go to
// the new version although the old one is gone. No more are sent without evidence.
func (c *Control) neededBySuccessor() uint64 {
	if c.o.ExposeShare == 0 && c.o.ExposeSlack == 0 {
		return successorEvidence
	}
	return min(successorEvidence, max(uint64(exposureFraction*float64(c.o.ExposeSlack)/2), minSuccessorRequests))
}
