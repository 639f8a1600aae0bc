package cowslipquery

import (
	"math/rand/v2"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// DispatchPart is one of the parts that an answer needs. Any of its replicas can
// answer it.
type DispatchPart struct {
	Service  *cowsliproute.Service // its budget pays for retries and hedges
	Replicas []*cowsliproute.Target
	Versions cowsliproute.VersionPreference
}

// Eligible reports whether a replica may be asked for the part, even if it has no
// free slot now.
func (p DispatchPart) Eligible(t *cowsliproute.Target) bool {
	return t.Available() && slices.ContainsFunc(p.Versions.Sets(), func(s cowsliproute.VersionSet) bool { return s.Allows(t.Info().Version) })
}

// DispatchOptions configure a Dispatch. View, Parts, CloseAt and Rand are required.
type DispatchOptions struct {
	View            *cowsliproute.View
	Parts           []DispatchPart
	CloseAt         time.Time     // when the answer closes at the latest
	HedgeAfter      time.Duration // delay before a second replica is asked; 0 disables hedging
	MaxAttempts     int           // how many replicas of a part may run the request; 0 means defaultMaxAttempts
	AtMostOnce      bool          // the request may run at most once: no hedges, and no retry after an attempt that may have run
	PreferOwnDomain bool          // prefer targets of this instance's failure domain if they are as good
	ProbeFirst      bool          // send to one target first, and to the others only after it has answered
	Answered        bool          // a target already answered this request in an earlier Dispatch
	Crashed         bool          // a target already crashed on this request in an earlier Dispatch
	MaxHedges       int           // how many parts may be hedged; 0 means all. If many parts are late at once, more requests delay them further
	RetryShed       bool          // after a pause, retry the replicas that refused a part for load
	KeepLosers      bool          // do not cancel a request whose part another replica has already answered
	Rand            *rand.Rand

	// PartialAt is the time from which the answer closes as soon as at least
	// MinParts parts are done. If it is zero, the answer waits for all parts.
	// Whatever PartialAt is, the answer closes once MinParts is out of reach.
	PartialAt time.Time
	MinParts  int
	// SlotDeadline is when a part that has not found a replica with a free slot is
	// given up. If it is zero, the part waits until the answer closes.
	SlotDeadline time.Time
}

// DispatchAction is an action for the caller of a Dispatch to carry out: it sends
// part Part to Target, or cancels attempt Attempt if Target is nil. The caller
// calls Target.Release when an attempt ends.
type DispatchAction struct {
	Attempt int
	Part    int
	Target  *cowsliproute.Target
	Hedge   bool
	Timeout time.Duration
}
