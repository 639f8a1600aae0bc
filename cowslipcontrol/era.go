package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipplatform"
)

// EraBegan handles the first content of a new era: the store has come back from an older copy.
// Revisions that were known before say nothing of the present content, and what this instance
// knows may be missing there. It must be called before that content is passed on. Targets that
// could not write their entries again before backBy stay in use until then.
func (c *Control) EraBegan(now time.Time, r cowslipplatform.Revision, backBy time.Time) {
	c.o.Event("storeEraBegan", r.String(), "the store has come back from an older copy")
	c.era, c.eraBeganAt = r.Era(), now
	for id := range c.outcomes {
		c.lostRecords[id] = true
	}
	c.keepHolds()
	// A clearing of the copy may be older than crashes that the copy lacks.
	c.clearings = nil
	c.StoreReturned(backBy)
}
