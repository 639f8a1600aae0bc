package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
)

// moveRecord is what the platform's store shows of a move.
type moveRecord struct {
	revision cowslipplatform.Revision // of its key, zero if the key does not exist
	asOf     cowslipplatform.Revision // of the store that shows it
	started  bool                     // that the move runs or has run is recorded
}

// MoveRecordRead handles the record of a move that the store showed at its revision asOf: the
// revision of the record's key, zero if there is none, and whether the record says that the move
// has started. Older records are ignored. Outcomes are handled by Outcome.
func (c *Control) MoveRecordRead(id string, revision, asOf cowslipplatform.Revision, started bool) {
	if r, ok := c.moveRecords[id]; !ok || !asOf.Before(r.asOf) {
		c.moveRecords[id] = moveRecord{revision: revision, asOf: asOf, started: started}
	}
}

// requestRecord asks for an outcome to be recorded, in place of the record on which it was decided.
func (c *Control) requestRecord(o *cowslipmessage.Outcome) {
	c.effects.Outcomes = append(c.effects.Outcomes, o)
	c.expectRecord(o.GetMove())
}

func (c *Control) expectRecord(id string) {
	if c.effects.Expected == nil {
		c.effects.Expected = map[string]cowslipplatform.Revision{}
	}
	c.effects.Expected[id] = c.moveRecords[id].revision
}

// mayDecide reports whether this instance may decide how a move ends. What it knew before a pause
// may be outdated: other judges may have found a fault. After a pause, it waits until one of them
// has answered and until recent evidence has come from enough instances. If no other judge
// answers, it decides by what it has seen itself since.
func (c *Control) mayDecide(now time.Time, m *move) bool {
	if c.pausedUntil.IsZero() || now.Sub(c.pausedUntil) >= judgeEvidenceAge {
		return true
	}
	alone := true
	for _, id := range c.judges(m.config.ID()) {
		p := c.peer(id)
		if p == nil || p.gone() {
			continue
		}
		if alone = false; p.lastExchange.After(c.pausedUntil) {
			return c.missingPeers(now) == ""
		}
	}
	return alone
}
