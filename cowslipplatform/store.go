package cowslipplatform

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// Errors of a Store. After any other error, the outcome is unknown: a write may
// have taken effect.
const (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("cowslipplatform: key not found")
	// ErrConflict means that the key's revision is not the expected one, and that
	// nothing was written.
	ErrConflict = errors.ConstError("cowslipplatform: revision conflict")
	// ErrLeaseExpired means that the lease has expired.
	ErrLeaseExpired = errors.ConstError("cowslipplatform: lease expired")
	// ErrCompacted means that the store no longer keeps the requested changes, so
	// that the keys must be listed again.
	ErrCompacted = errors.ConstError("cowslipplatform: requested changes are no longer kept")
	// ErrEraEnded means that the store answers in another era than that of the revision or
	// lease of the call. A watch must list the keys again. A write that expected a revision may
	// have met other content with the same number: its writer must read and decide again.
	ErrEraEnded = errors.ConstError("cowslipplatform: the store has begun a new era")
	// ErrMoreChanges is returned together with changes that may be incomplete. The
	// next call must ask for the changes after the returned revision. Such a result
	// does not confirm that a copy of the store is up to date.
	ErrMoreChanges = errors.ConstError("cowslipplatform: more changes may follow")
)

// Value is the content of a key. Revision is the store's revision after the last write
// of the key, in the era in which it was read, and zero for a key that does not exist. The
// store's revision grows with each write of any key.
type Value struct {
	Key      string   `json:"key"`
	Data     []byte   `json:"data"`
	Revision Revision `json:"revision"`
}

// Write is one compare-and-swap. Expect is the revision that the key must have, zero
// for a key that must not exist yet. If there is a Lease, the key is removed when
// that lease ends. If TTL is not 0, the key is removed after that time.
type Write struct {
	Key    string        `json:"key"`
	Data   []byte        `json:"data"`
	Expect Revision      `json:"expect"`
	Lease  Lease         `json:"lease,omitzero"`
	TTL    time.Duration `json:"ttlNanos,omitempty"`
}

// Change is one change of a key: a new value, or the key's removal at Revision.
type Change struct {
	Value
	Removed bool
}

// Listing is the content of all keys with a prefix, at least as new as Revision:
// it may or may not include changes after Revision.
type Listing struct {
	Values   []Value
	Revision Revision
}

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	Addr          string        `json:"addr"`
	FailureDomain string        `json:"failureDomain"`
	Version       string        `json:"version"`
	Leaving       bool          `json:"leaving"`
	Slots         int           `json:"slots,omitempty"`        // number of requests it executes concurrently, 0 if unknown
	ColdFor       time.Duration `json:"coldForNanos,omitempty"` // remaining warm-up time after its start
	Incarnation   string        `json:"incarnation,omitempty"`  // identifies the run of its process, empty if unknown
}

// Store is the platform's key-value store and instance list. All functions are
// safe for concurrent use and return when ctx ends. An entry instance uses either
// List, Watch and Instances or, if its options adapt it to another platform, Scan and
// Changes; those that it does not use may be nil.
type Store struct {
	Get       func(ctx context.Context, key string) (Value, error)
	Put       func(ctx context.Context, w Write) (Revision, error)
	Delete    func(ctx context.Context, key string, expect Revision) error
	List      func(ctx context.Context, prefix string) ([]Value, error)
	Watch     func(ctx context.Context, key string, after Revision, wait time.Duration) (Value, error) // returns the current value once its revision differs from after, or when wait has elapsed
	Grant     func(ctx context.Context, ttl time.Duration) (Lease, error)
	KeepAlive func(ctx context.Context, l Lease) error
	Revoke    func(ctx context.Context, l Lease) error
	Instances func(ctx context.Context) ([]Instance, error)

	// Scan lists the keys with a prefix. If stale is set, the listing may be seconds
	// old and costs the platform less.
	Scan func(ctx context.Context, prefix string, stale bool) (Listing, error)
	// Changes is a long poll. It returns the changes of keys with a prefix after a
	// revision, in order, as soon as there is one, or none when wait has elapsed. It
	// also returns the revision to pass to the next call.
	Changes func(ctx context.Context, prefix string, after Revision, wait time.Duration) ([]Change, Revision, error)

	// UnreadableEras counts the answers whose era could not be read. It may be nil.
	UnreadableEras func() int64
}
