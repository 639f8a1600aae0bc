package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
)

// RecordState is how far the platform's store shows that a move has come.
type RecordState int

// The states of a record.
const (
	RecordMissing RecordState = iota // nothing of this move
	RecordStarted
	RecordEnded
)

// restoreDelay is how long the judges alone record an outcome again that the store has lost.
const restoreDelay = 2 * time.Second

// moveRecord is what the platform's store shows of a move.
type moveRecord struct {
	revision cowslipplatform.Revision // of its key, zero if the key does not exist
	asOf     cowslipplatform.Revision // of the store that shows it
	state    RecordState
}

// MoveRecordRead handles the record of a move that the store showed at its revision asOf: the
// revision of the record's key, zero if there is none, and its state. Older records are ignored.
// Outcomes are handled by Outcome.
func (c *Control) MoveRecordRead(id string, revision, asOf cowslipplatform.Revision, s RecordState) {
	if r, ok := c.moveRecords[id]; !ok || !asOf.Before(r.asOf) {
		c.moveRecords[id] = moveRecord{revision: revision, asOf: asOf, state: s}
	}
}

// restoreRecord asks for the known outcome of a move to be recorded again if the store lost it
// when it came back from an older copy: targets and operators have acted on it. The judges do so
// at once, other instances if they don't know it either.
func (c *Control) restoreRecord(now time.Time, m *move) {
	id := m.config.ID()
	r := c.moveRecords[id]
	switch {
	case !c.lostRecords[id] || r.asOf.Era() != c.era:
	case r.state == RecordEnded:
		delete(c.lostRecords, id)
	case m.isJudge || now.Sub(c.eraBeganAt) >= restoreDelay:
		c.requestRecord(c.outcomes[id])
	}
}

// OutcomesListed handles a list of all outcomes that the platform holds. Those of configured moves
// that are known and not listed were lost with data of the platform, and are recorded again.
func (c *Control) OutcomesListed(l []cowslipmessage.Outcome) {
	listed := map[string]bool{}
	for i := range l {
		listed[l[i].GetMove()] = true
	}
	for i := range c.moves {
		if o := c.outcomes[c.moves[i].config.ID()]; o != nil && !listed[o.GetMove()] {
			c.requestRecord(o)
		}
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
