package cowslipplatform

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Store. Any other error means that the outcome is unknown: a
// write may have taken effect.
const (
	// ErrNotFound says that the key does not exist.
	ErrNotFound = errors.ConstError("cowslipplatform: key not found")
	// ErrConflict says that the key has another revision than expected, and
	// that nothing was written.
	ErrConflict = errors.ConstError("cowslipplatform: revision conflict")
	// ErrLeaseExpired says that the lease has lapsed.
	ErrLeaseExpired = errors.ConstError("cowslipplatform: lease lapsed")
	// ErrCompacted says that the changes asked for are no longer kept: the
	// keys have to be read anew.
	ErrCompacted = errors.ConstError("cowslipplatform: history no longer kept")
	// ErrMoreChanges comes with changes that may not be all: they are to be asked for again
	// after the revision that came with them, and do not confirm a copy.
	ErrMoreChanges = errors.ConstError("cowslipplatform: more changes may follow")
)

// Value is a key's content. Revision grows with each write of the store and
// is 0 for a key that does not exist.
type Value struct {
	Key      string `json:"key"`
	Data     []byte `json:"data"`
	Revision uint64 `json:"revision"`
}

// Write is one compare-and-swap. Expect is the revision that the key must
// have, 0 for a key that must not exist yet. A Lease other than 0 removes the
// key when that lease ends; a TTL other than 0 removes it after that time.
type Write struct {
	Key    string        `json:"key"`
	Data   []byte        `json:"data"`
	Expect uint64        `json:"expect"`
	Lease  uint64        `json:"lease,omitempty"`
	TTL    time.Duration `json:"ttlNanos,omitempty"`
}

// Change is one change of a key: its new value, or its removal at Revision.
type Change struct {
	Value
	Removed bool
}

// Listing is the content of all keys with a prefix, as of a revision of the
// store: changes after Revision may be missing or be in already.
type Listing struct {
	Values   []Value
	Revision uint64
}

// Instance is one line of the platform's instance list.
type Instance struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	Addr          string        `json:"addr"`
	FailureDomain string        `json:"failureDomain"`
	Version       string        `json:"version"`
	Leaving       bool          `json:"leaving"`
	Slots         int           `json:"slots,omitempty"`        // requests that it runs at once, 0 if unknown
	ColdFor       time.Duration `json:"coldForNanos,omitempty"` // how much longer it is slow after its start
	Incarnation   string        `json:"incarnation,omitempty"`  // of its process, empty if unknown
}

// Store is the platform's service. All functions are safe for concurrent use
// and end with ctx.
type Store struct {
	Get       func(ctx context.Context, key string) (Value, error)
	Put       func(ctx context.Context, w Write) (uint64, error)
	Delete    func(ctx context.Context, key string, expect uint64) error
	List      func(ctx context.Context, prefix string) ([]Value, error)
	Watch     func(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) // returns the current value once its revision differs from after, or when wait is over
	Grant     func(ctx context.Context, ttl time.Duration) (uint64, error)
	KeepAlive func(ctx context.Context, lease uint64) error
	Revoke    func(ctx context.Context, lease uint64) error
	Instances func(ctx context.Context) ([]Instance, error)

	// Scan lists a prefix; a stale listing may be seconds old and costs less.
	Scan func(ctx context.Context, prefix string, stale bool) (Listing, error)
	// Changes returns the changes below a prefix after a revision, in order,
	// as soon as there is one, or none when wait is over, and the revision to
	// go on from.
	Changes func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Change, uint64, error)
}
