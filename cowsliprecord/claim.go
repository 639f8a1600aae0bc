package cowsliprecord

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// State is how far a claimed request came.
type State string

// The states of a claim.
const (
	Claimed  State = "claimed"  // may be sent, may have run
	Released State = "released" // did not run and will not by this claim; may be claimed anew
	Done     State = "done"     // ran; the result is kept
	Unclear  State = "unclear"  // was sent, and whether it ran is not known
)

// KeyPrefix starts the platform's keys of claims; the service and the caller's
// key follow.
const KeyPrefix = "cowslipflow/claims/"

// Retention is how long a claim is kept, and so how long a repeat of a key is
// known as one.
const Retention = 24 * time.Hour

// Claim is the value kept under a caller's key.
type Claim struct {
	ID          string    `json:"id"` // unique for one attempt to claim
	Entry       string    `json:"entry"`
	State       State     `json:"state"`
	Fingerprint uint64    `json:"fingerprint"` // of the request, to tell a repeat from a key used twice
	Result      string    `json:"result,omitempty"`
	At          time.Time `json:"at"`
}

func (c Claim) encode() ([]byte, error) {
	b, err := json.Marshal(c)
	return b, errors.Annotate(err, "cowsliprecord: encode claim")
}

// DecodeClaim reads a stored claim.
func DecodeClaim(b []byte) (Claim, error) {
	var c Claim
	if err := json.Unmarshal(b, &c); err != nil {
		return Claim{}, errors.Annotate(err, "cowsliprecord: decode claim")
	}
	return c, nil
}
