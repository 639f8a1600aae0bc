package cowslipplatform

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/juju/errors"
)

// Revision is a point in the history of a store. Its number grows with each write within an
// era. A store that comes back from an older copy loses the writes since, begins the next era,
// and gives the numbers of the lost writes out again. Stores without eras are always in era 0.
// The zero value is before all content.
type Revision struct {
	era, number uint64
}

// NewRevision returns the revision with a number in an era.
func NewRevision(era, number uint64) Revision { return Revision{era: era, number: number} }

// Era returns the era, 0 if the store has none.
func (r Revision) Era() uint64 { return r.era }

// Number returns the number within the era.
func (r Revision) Number() uint64 { return r.number }

// IsZero reports whether the revision is that of no content.
func (r Revision) IsZero() bool { return r.number == 0 }

// Compare returns -1 if r is before x, 1 if it is after x, and 0 if both are the same point.
func (r Revision) Compare(x Revision) int {
	return cmp.Or(cmp.Compare(r.era, x.era), cmp.Compare(r.number, x.number))
}

// Before reports whether r is before x.
func (r Revision) Before(x Revision) bool { return r.Compare(x) < 0 }

// After reports whether r is after x.
func (r Revision) After(x Revision) bool { return r.Compare(x) > 0 }

// SameEra reports whether r and x are of one era, so that changes lead from one to the other.
func (r Revision) SameEra(x Revision) bool { return r.era == x.era }

// String returns the number, after the era if there is one, as in "2:512".
func (r Revision) String() string {
	if r.era == 0 {
		return strconv.FormatUint(r.number, 10)
	}
	return fmt.Sprintf("%d:%d", r.era, r.number)
}

// MarshalJSON returns the number alone, since the protocol of docs/PLATFORM.md has no eras.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(r.number) }

// UnmarshalJSON reads a number of era 0.
func (r *Revision) UnmarshalJSON(b []byte) error {
	r.era = 0
	return errors.Annotate(json.Unmarshal(b, &r.number), "cowslipplatform: decode revision")
}
