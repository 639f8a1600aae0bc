package cowslipquery

import (
	"math/rand/v2"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// DispatchPart is one part of an answer, such as one shard of a query. Any of its
// replicas can answer it.
type DispatchPart struct {
	Service  *cowsliproute.Service // its budget pays for retries and hedges
	Replicas []*cowsliproute.Target
	Versions cowsliproute.VersionPreference
	Once     bool // at most one attempt, except those known not to have run: targets have crashed under the part
}

// Eligible reports whether a replica may be asked for the part, even if it has no
// capacity now.
func (p DispatchPart) Eligible(t *cowsliproute.Target) bool {
	return t.Available() && slices.ContainsFunc(p.Versions.Sets(), func(s cowsliproute.VersionSet) bool { return s.AllowsTarget(t.Info()) })
}

// delay returns how long after now a replica may be asked for the part, as far as the pace and
// the pauses of the replicas tell. It reports false if none may be asked at all.
func (p DispatchPart) delay(now time.Time) (time.Duration, bool) {
	least, ok := time.Duration(0), false
	for _, t := range p.Replicas {
		if !p.Eligible(t) {
			continue
		}
		if d := t.SendDelay(now); !ok || d < least {
			least, ok = d, true
		}
	}
	return least, ok
}

// DispatchOptions configure a Dispatch. View, Parts, CloseAt and Rand are required.
type DispatchOptions struct {
	View            *cowsliproute.View
	Parts           []DispatchPart
	CloseAt         time.Time     // when the answer closes at the latest
	HedgeAfter      time.Duration // delay before a second replica is asked; 0 disables hedging
	MaxAttempts     int           // limit of the attempts at a part, except those known not to have run; 0 means defaultMaxAttempts
	AtMostOnce      bool          // the request may run at most once: no hedges, and no retry after an attempt that may have run
	PreferOwnDomain bool          // prefer targets of this instance's failure domain if they are about as good as others
	Probes          []int         // send one request at a time, for these parts in order of preference, until one is answered; only then the others. It is sent again only if it crashed no target for certain
	HedgeProbe      bool          // while no probe is answered, send one for another of Probes after HedgeAfter, once
	Alert           bool          // targets have crashed under wide requests lately: one crash ends the request, and a part that a target broke off is not sent again
	Answered        bool          // a target already answered this request in an earlier Dispatch
	Crashed         bool          // a target already crashed on this request in an earlier Dispatch
	MaxHedges       int           // how many parts may be hedged; 0 means all. If many parts are late at once, more requests would delay them further
	RetryShed       bool          // after a pause, retry the replicas that refused a part for load
	HoldLost        bool          // after a target broke off a request without an answer, send nothing more until some target has answered: the request may crash all targets that run it
	KeepLosers      bool          // do not cancel requests in flight once their part is answered or the answer closes
	Rand            *rand.Rand

	// PartialAt is the time from which the answer closes as soon as at least
	// MinParts parts are done. If it is zero, the answer waits for all parts. In both
	// cases it closes once too many parts are missing to reach MinParts.
	PartialAt time.Time
	MinParts  int
	// CapacityDeadline is when a part that has not found a replica with capacity is
	// given up. If it is zero, the part waits until the answer closes.
	CapacityDeadline time.Time
}

// StartDelay returns how long after now a Dispatch could send at least MinParts of its parts,
// or one, as far as the pace and the pauses of the replicas tell. It reports false if too few parts have a
// replica that may be asked at all.
func (o DispatchOptions) StartDelay(now time.Time) (time.Duration, bool) {
	var l []time.Duration
	for _, p := range o.Parts {
		if d, ok := p.delay(now); ok {
			l = append(l, d)
		}
	}
	n := max(o.MinParts, 1)
	if len(l) < n {
		return 0, false
	}
	slices.Sort(l)
	return l[n-1], true
}

// ProbeDelay is like StartDelay for the parts in Probes, of which one is enough. It is 0 if there are none.
func (o DispatchOptions) ProbeDelay(now time.Time) (time.Duration, bool) {
	if len(o.Probes) == 0 {
		return 0, true
	}
	l := make([]DispatchPart, 0, len(o.Probes))
	for _, n := range o.Probes {
		l = append(l, o.Parts[n])
	}
	return DispatchOptions{Parts: l}.StartDelay(now)
}

// DispatchAction tells the caller of a Dispatch to send part Part to Target or, if
// Target is nil, to cancel attempt Attempt. The caller must call Target.Release when
// an attempt ends.
type DispatchAction struct {
	Attempt int
	Part    int
	Target  *cowsliproute.Target
	Hedge   bool
	Timeout time.Duration
}
