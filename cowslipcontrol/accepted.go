package cowslipcontrol

import (
	"encoding/json"
	"fmt"
	"time"

	"cowslipflow/cowslipconfig"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// ConfigKey is the platform's key that holds the accepted configuration.
const ConfigKey = "cowslipflow/config"

// Accepted is an accepted configuration as the platform stores it. Revision
// grows with each accepted edit and never falls.
type Accepted struct {
	Revision   uint64               `json:"revision"`
	EditID     string               `json:"editId"` // tells whether a write whose answer was lost took effect
	By         string               `json:"by"`
	AcceptedAt time.Time            `json:"acceptedAt"`
	MoveStarts map[string]time.Time `json:"moveStarts"` // by move ID
	Text       string               `json:"text"`
}

// Encode gives the stored form.
func (a Accepted) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	return b, errors.Annotate(err, "cowslipcontrol: encode configuration")
}

// DecodeAccepted reads the stored form.
func DecodeAccepted(b []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(b, &a); err != nil {
		return Accepted{}, errors.Annotate(err, "cowslipcontrol: decode configuration")
	}
	return a, nil
}

// Next prepares the value that an edit of a stores, with the starts of moves
// that the text before listed already kept.
func (a Accepted) Next(text string, c *cowslipconfig.Config, editID, by string, now time.Time) Accepted {
	n := Accepted{Revision: a.Revision + 1, EditID: editID, By: by, AcceptedAt: now, Text: text, MoveStarts: map[string]time.Time{}}
	for _, m := range c.Moves() {
		s, ok := a.MoveStarts[m.ID()]
		if !ok {
			s = now
		}
		n.MoveStarts[m.ID()] = s
	}
	return n
}

// Accepted is the configuration in force; its revision is 0 before the first.
func (c *Control) Accepted() Accepted { return c.accepted }

// Config is the parsed configuration in force.
func (c *Control) Config() *cowslipconfig.Config { return c.config }

// Offer takes a configuration that the platform or a peer holds. Only a higher
// revision takes force. It tells whether the offered one is now in force.
func (c *Control) Offer(a Accepted, from string) bool {
	if a.Revision <= c.accepted.Revision {
		return a.Revision == c.accepted.Revision && a.EditID == c.accepted.EditID
	}
	n, err := cowslipconfig.Parse([]byte(a.Text))
	if err != nil {
		c.o.Event("configRejected", fmt.Sprint(a.Revision), err.Error())
		return false
	}
	c.reportDomains(c.config, n)
	c.accepted = a
	c.digest = xxhash.Sum64String(a.Text)
	c.config = n
	c.o.Event("configInForce", fmt.Sprint(a.Revision), "learned from "+from)
	c.applyServices()
	c.applyRoutes()
	c.applyMoves()
	c.limitsDirty = true
	c.viewDirty = true
	c.effects.Push = true
	return true
}

func (c *Control) reportDomains(before, after *cowslipconfig.Config) {
	for _, d := range after.FailureDomains() {
		switch {
		case d.Out() && !before.FailureDomainOut(d.Name()):
			c.o.Event("failureDomainOut", d.Name(), "no new work is sent to its targets")
		case !d.Out() && before.FailureDomainOut(d.Name()):
			c.o.Event("failureDomainReturned", d.Name(), "its targets serve again")
		}
	}
}
