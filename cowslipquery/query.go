package cowslipquery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Constants of a query's course.
const (
	maxAttempts     = 4                    // per part, over all replicas
	waitForRoom     = 2 * time.Millisecond // pause before asking for room again
	hedgePause      = 4 * time.Millisecond // before a hedge without budget or room is tried again
	marginShare     = 20                   // the merge closes 1/20 of the deadline early
	restartShare    = 2                    // a restart needs half of the deadline still ahead
	maxSnapshots    = 3                    // snapshots tried per query
	minimumDeadline = time.Millisecond
)

// Options describe a query.
type Options struct {
	ID       string
	View     *cowsliproute.View
	Service  *cowsliproute.Service
	Route    string
	Text     string
	Start    time.Time
	Deadline time.Duration
	Prefer   string // version to ask first, empty for any
	Fallback string // version to ask next, empty for none
	Single   bool   // ask one target first, and the others only once it answered
	NoHedge  bool   // a baseline for measurements
	Last     bool   // make the best of this view, however stale
	Rand     *rand.Rand
}

// Action is something for the caller of a Query to do: send Search to Target,
// or cancel the attempt if Target is nil. The caller releases the target's room
// when an attempt ends.
type Action struct {
	Attempt int
	Target  *cowsliproute.Target
	Search  cowsliptarget.Search
	Timeout time.Duration
}

// Reply is the end of an attempt. Crashed says that the target went down with
// the request.
type Reply struct {
	Outcome cowsliptarget.Outcome
	Reply   cowsliptarget.SearchReply
	Crashed bool
}

// Result is the answer to a query with what it covers.
type Result struct {
	IndexVersion uint64               `json:"indexVersion"`
	Items        []cowsliptarget.Item `json:"items"`
	Coverage     Coverage             `json:"coverage"`
	OwnOnly      bool                 `json:"ownFailureDomainOnly"` // the configuration was not confirmed in time, so that only targets of the own failure domain were asked
	Needed       int                  `json:"needed"`
	Sent         int                  `json:"sent"`
	Shed         int                  `json:"shed"`
	Late         int                  `json:"late"` // parts without an answer when the merge closed
	Crashed      bool                 `json:"crashed"`
	Proven       bool                 `json:"-"` // a target answered the request
	Stale        bool                 `json:"-"` // given up early, since the view no longer fits what targets hold; to be run again with a newer one
}

type part struct {
	lo, hi   uint32
	replicas []*cowsliproute.Target
	tried    []*cowsliproute.Target
	active   int
	attempts int
	sentAt   time.Time
	hedged   bool

	hedgeAgain time.Time // not before, since the budget or the replicas had no room

	waiting bool
	done    bool
	missing bool
	wrong   bool
	items   []cowsliptarget.Item
}

func (p *part) settled() bool { return p.done || p.missing }

type attempt struct {
	part   int
	gen    int // of the snapshot pinned when it was sent
	target *cowsliproute.Target
	ended  bool
}

// Query is one query's state. Make it with New; it is not safe for concurrent
// use.
type Query struct {
	o        Options
	closeAt  time.Time
	gen      int
	snapshot int
	parts    []part
	attempts []attempt
	sent     int
	needed   int
	shed     int
	late     int
	ownOnly  bool
	crashed  bool
	closed   bool
	stale    bool
	proven   bool // a target has answered the request
	actions  []Action
}

// New makes a query.
func New(o Options) *Query {
	d := max(o.Deadline, minimumDeadline)
	return &Query{o: o, closeAt: o.Start.Add(d - d/marginShare)}
}

// Begin pins a snapshot and sends the first sub-requests.
func (q *Query) Begin(now time.Time) []Action {
	q.pin(0)
	q.dispatch(now)
	return q.take()
}

// Ended handles the end of an attempt.
func (q *Query) Ended(now time.Time, n int, r Reply) []Action {
	a := &q.attempts[n]
	a.ended = true
	if a.gen != q.gen || q.closed {
		return nil
	}
	p := &q.parts[a.part]
	p.active--
	q.crashed = q.crashed || r.Crashed
	if p.settled() {
		return q.take()
	}
	if !now.Before(q.closeAt) {
		q.close()
		return q.take()
	}
	q.handle(now, p, a, r)
	q.dispatch(now)
	return q.take()
}

// Tick handles the passing of time: hedges, waits for room and the close of
// the merge.
func (q *Query) Tick(now time.Time) []Action {
	if q.closed {
		return nil
	}
	if !now.Before(q.closeAt) {
		q.close()
		return q.take()
	}
	q.hedge(now)
	q.dispatch(now)
	return q.take()
}

// Next is when Tick is due.
func (q *Query) Next(now time.Time) time.Time {
	n := q.closeAt
	for i := range q.parts {
		p := &q.parts[i]
		if p.settled() {
			continue
		}
		if p.waiting {
			n = earlier(n, now.Add(waitForRoom))
		}
		if t, ok := q.hedgeAt(p); ok && t.After(now) {
			n = earlier(n, t)
		}
	}
	return n
}

// Done tells whether the result is final.
func (q *Query) Done() bool { return q.closed }

// Result is the answer. It is final once Done.
func (q *Query) Result() Result {
	r := Result{Stale: q.stale, Proven: q.proven, OwnOnly: q.ownOnly, Needed: q.needed, Sent: q.sent, Shed: q.shed, Late: q.late, Crashed: q.crashed, Items: []cowsliptarget.Item{}}
	if s := q.o.Service.Snapshots(); q.snapshot < len(s) {
		r.IndexVersion = s[q.snapshot].IndexVersion
	}
	var c []Range
	for _, p := range q.parts {
		if p.done {
			c = append(c, Range{Lo: p.lo, Hi: p.hi})
			r.Items = append(r.Items, p.items...)
		}
	}
	slices.SortStableFunc(r.Items, func(a, b cowsliptarget.Item) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Text, b.Text))
	})
	r.Coverage = Cover(c)
	return r
}

func (q *Query) take() []Action {
	a := q.actions
	q.actions = nil
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
