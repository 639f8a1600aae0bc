package cowslipquery

import (
	"math/rand/v2"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// CoursePart is one of the parts that an answer needs: any replica can give it.
type CoursePart struct {
	Service  *cowsliproute.Service // whose budget retries and hedges draw on
	Replicas []*cowsliproute.Target
	Versions cowsliproute.Preference
}

// Open tells whether a replica may be asked for the part at all.
func (p CoursePart) Open(t *cowsliproute.Target) bool {
	return t.Open() && slices.ContainsFunc(p.Versions.Sets(), func(s cowsliproute.VersionSet) bool { return s.Allows(t.Info().Version) })
}

// CourseOptions describe a course. View, Parts, CloseAt and Rand are needed.
type CourseOptions struct {
	View       *cowsliproute.View
	Parts      []CoursePart
	CloseAt    time.Time     // when the course ends at the latest
	HedgeAfter time.Duration // of waiting before a second replica is asked, 0 for never
	Attempts   int           // replicas of a part that may run the request, maxAttempts if 0
	Once       bool          // the request may run once at most
	Near       bool          // prefer targets of the own failure domain that are as good
	Single     bool          // ask one target first, and the others only once it answered
	Proven     bool          // a target has answered the request before
	Crashed    bool          // a target went down with the request before
	MaxHedges  int           // parts that may be hedged, 0 for all: where many are late at once, more requests make them later
	AskAgain   bool          // ask replicas that refused a part for load once more, after a pause
	KeepLosers bool          // leave a request whose part has its answer to end by itself
	Rand       *rand.Rand

	// EnoughAt and Least close the course early: at EnoughAt if Least parts are
	// in by then, later once they are. A zero EnoughAt waits for all parts.
	EnoughAt time.Time
	Least    int
	// RoomBy is when a part that found no replica with room is given up; zero
	// waits until the close.
	RoomBy time.Time
}

// Order is something for the driver of a Course to do: send part Part to
// Target, or cancel the attempt if Target is nil. The driver releases the
// target's room when an attempt ends.
type Order struct {
	Attempt int
	Part    int
	Target  *cowsliproute.Target
	Hedge   bool
	Timeout time.Duration
}
