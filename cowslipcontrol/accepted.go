package cowslipcontrol

import (
	"encoding/json"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipworkspace"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// ConfigKey is the key of the accepted configuration in the platform's store.
const ConfigKey = "cowslipflow/config"

// Accepted is an accepted configuration as the platform stores it. Revision
// grows with each accepted edit and never falls within an era of the platform's store.
type Accepted struct {
	Revision   uint64               `json:"revision"`
	Era        uint64               `json:"era,omitempty"` // of the store, if Revision is that of the store
	EditID     string               `json:"editId"`        // shows whether a write whose response was lost took effect
	By         string               `json:"by"`
	AcceptedAt time.Time            `json:"acceptedAt"`
	MoveStarts map[string]time.Time `json:"moveStarts"` // by move ID
	Text       string               `json:"text"`
}

// Encode returns the stored form.
func (a Accepted) Encode() ([]byte, error) {
	b, err := json.Marshal(a)
	return b, errors.Annotate(err, "cowslipcontrol: encode configuration")
}

// DecodeAccepted decodes the stored form.
func DecodeAccepted(b []byte) (Accepted, error) {
	var a Accepted
	if err := json.Unmarshal(b, &a); err != nil {
		return Accepted{}, errors.Annotate(err, "cowslipcontrol: decode configuration")
	}
	return a, nil
}

// At returns the point in the store's history, or in that of the edits, at which the
// configuration was accepted.
func (a Accepted) At() cowslipplatform.Revision {
	return cowslipplatform.NewRevision(a.Era, a.Revision)
}

// Next returns the value to store after an edit that replaces the receiver's text.
// Moves that the receiver already has keep their start time.
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

// Accepted returns the configuration in force. Its revision is 0 while there is
// none.
func (c *Control) Accepted() Accepted { return c.accepted }

// Config returns the parsed configuration in force.
func (c *Control) Config() *cowslipconfig.Config { return c.config }

// Offer puts a configuration from the platform, a peer or an operator in force if
// its revision is higher than the present one and its text is valid. It reports
// whether the offered configuration is now in force.
func (c *Control) Offer(a Accepted, from string) bool {
	if x := a.At().Compare(c.accepted.At()); x <= 0 {
		return x == 0 && a.EditID == c.accepted.EditID
	}
	n, err := cowslipconfig.Parse([]byte(a.Text))
	if err != nil {
		c.o.Event("configRejected", a.At().String(), err.Error())
		return false
	}
	c.reportDomains(c.config, n)
	c.accepted = a
	c.digest = xxhash.Sum64String(a.Text)
	c.config = n
	c.workspaces = cowslipworkspace.NewDirectory(n)
	c.o.Event("configInForce", a.At().String(), "learned from "+from)
	c.applyServices()
	c.applyRoutes()
	c.applyMoves()
	c.limitsDirty = true
	c.viewDirty = true
	c.effects.Push = true
	return true
}

// reportDomains reports an event for each failure domain that an edit takes out of use
// or puts back into use.
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
