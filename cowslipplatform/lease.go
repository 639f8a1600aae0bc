package cowslipplatform

import (
	"encoding/json"

	"github.com/juju/errors"
)

// Lease is a lease that a store granted. It belongs to the era in which it was granted: a store
// that comes back from an older copy may grant its ID again, to another client. The zero value
// is no lease.
type Lease struct {
	era, id uint64
}

// NewLease returns the lease with an ID that was granted in an era.
func NewLease(era, id uint64) Lease { return Lease{era: era, id: id} }

// Era returns the era in which the lease was granted, 0 if the store has none.
func (l Lease) Era() uint64 { return l.era }

// ID returns the ID of the lease.
func (l Lease) ID() uint64 { return l.id }

// IsZero reports whether there is no lease.
func (l Lease) IsZero() bool { return l.id == 0 }

// MarshalJSON returns the ID alone, since the protocol of docs/PLATFORM.md has no eras.
func (l Lease) MarshalJSON() ([]byte, error) { return json.Marshal(l.id) }

// UnmarshalJSON reads an ID of era 0.
func (l *Lease) UnmarshalJSON(b []byte) error {
	l.era = 0
	return errors.Annotate(json.Unmarshal(b, &l.id), "cowslipplatform: decode lease")
}
