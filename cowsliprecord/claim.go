package cowsliprecord

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	Claimed  State = "claimed"  // the request may be sent or may have run
	Released State = "released" // the request did not run and will not run under this claim; the key may be claimed again
	Done     State = "done"     // the request ran and its result is stored
	Unclear  State = "unclear"  // the request was sent, but whether it ran is unknown
)

// KeyPrefix is the prefix of claim keys in the platform's key-value store. The
// service, a slash and the caller's idempotency key follow it.
const KeyPrefix = "cowslipflow/claims/"

// Retention is the time to live of a claim, and so the period within which a
// repeated key is recognized.
const Retention = 24 * time.Hour

// Claim is the value stored under a caller's idempotency key.
type Claim struct {
	ID          string    `json:"id"` // unique per attempt to claim
	Entry       string    `json:"entry"`
	State       State     `json:"state"`
	Fingerprint uint64    `json:"fingerprint"` // hash of the request, to detect that a key is reused for another request
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
