package cowslipquery

import (
	"math/rand/v2"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// DispatchPart is one of the parts that an answer needs: any replica can give it.
type DispatchPart struct {
	Service  *cowsliproute.Service // whose budget retries and hedges draw on
	Replicas []*cowsliproute.Target
	Versions cowsliproute.VersionPreference
}

// Eligible tells whether a replica may be asked for the part at all.
func (p DispatchPart) Eligible(t *cowsliproute.Target) bool {
	return t.Available() && slices.ContainsFunc(p.Versions.Sets(), func(s cowsliproute.VersionSet) bool { return s.Allows(t.Info().Version) })
}

// DispatchOptions describe a course. View, Parts, CloseAt and Rand are needed.
type DispatchOptions struct {
	View            *cowsliproute.View
	Parts           []DispatchPart
	CloseAt         time.Time     // when the course ends at the latest
	HedgeAfter      time.Duration // of waiting before a second replica is asked, 0 for never
	Attempts        int           // replicas of a part that may run the request, maxAttempts if 0
	AtMostOnce      bool          // the request may run once at most
	PreferOwnDomain bool          // prefer targets of the own failure domain that are as good
	ProbeFirst      bool          // ask one target first, and the others only once it answered
	Answered        bool          // a target has answered the request before
	Crashed         bool          // a target went down with the request before
	MaxHedges       int           // parts that may be hedged, 0 for all: where many are late at once, more requests make them later
	RetryShed       bool          // ask replicas that refused a part for load once more, after a pause
	KeepLosers      bool          // leave a request whose part has its answer to end by itself
	Rand            *rand.Rand

	// PartialAt and Least close the course early: at EnoughAt if Least parts are
	// in by then, later once they are. A zero EnoughAt waits for all parts.
	PartialAt time.Time
	MinParts  int
	// SlotDeadline is when a part that found no replica with room is given up; zero
	// waits until the close.
	SlotDeadline time.Time
}

// DispatchAction is something for the driver of a Course to do: send part Part to
// Target, or cancel the attempt if Target is nil. The driver releases the
// target's room when an attempt ends.
type DispatchAction struct {
	Attempt int
	Part    int
	Target  *cowsliproute.Target
	Hedge   bool
	Timeout time.Duration
}
