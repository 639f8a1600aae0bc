package cowslipquery

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Constants of a query's course.
const (
	marginShare     = 20 // the merge closes 1/20 of the deadline early
	restartShare    = 2  // a restart needs half of the deadline still ahead
	maxSnapshots    = 3  // snapshots tried per query
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
	Versions cowsliproute.Preference
	Single   bool // ask one target first, and the others only once it answered
	NoHedge  bool // a baseline for measurements
	Last     bool // make the best of this view, however stale
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

// Query is one query over the shards of a service: a Course over the parts of
// a pinned snapshot. Make it with New; it is not safe for concurrent use.
type Query struct {
	o        Options
	closeAt  time.Time
	snapshot int
	course   *Course
	base     int // attempts of the snapshots given up, which come first
	searches []cowsliptarget.SearchReply
	before   Result // counts of the snapshots given up
	needed   int
	closed   bool
	stale    bool
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
	return q.step(now, q.course.Begin(now))
}

// Ended handles the end of an attempt.
func (q *Query) Ended(now time.Time, n int, r Reply) []Action {
	if n < q.base || q.closed {
		return nil
	}
	q.searches[n-q.base] = r.Reply
	return q.step(now, q.course.Ended(now, n-q.base, r.Outcome, r.Crashed))
}

// Tick handles the passing of time: hedges, waits for room and the close of
// the merge.
func (q *Query) Tick(now time.Time) []Action {
	if q.closed {
		return nil
	}
	return q.step(now, q.course.Tick(now))
}

// Next is when Tick is due.
func (q *Query) Next(now time.Time) time.Time { return q.course.Next(now) }

// Done tells whether the result is final.
func (q *Query) Done() bool { return q.closed }

// Result is the answer. It is final once Done.
func (q *Query) Result() Result {
	r := q.before
	c := q.course
	r.Stale, r.Needed, r.Items = q.stale, q.needed, []cowsliptarget.Item{}
	r.Sent, r.Shed, r.Late = r.Sent+c.sent, r.Shed+c.shed, r.Late+c.late
	r.Proven, r.OwnOnly, r.Crashed = c.proven, r.OwnOnly || c.ownOnly, c.crashed
	var l []Range
	if s := q.o.Service.Snapshots(); q.snapshot < len(s) {
		r.IndexVersion = s[q.snapshot].IndexVersion
		for i, p := range s[q.snapshot].Parts {
			if w := c.Winner(i); w >= 0 {
				l = append(l, Range{Lo: p.Lo, Hi: p.Hi})
				r.Items = append(r.Items, q.searches[w].Items...)
			}
		}
	}
	slices.SortStableFunc(r.Items, func(a, b cowsliptarget.Item) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Text, b.Text))
	})
	r.Coverage = Cover(l)
	return r
}

// pin starts the parts of a snapshot afresh; nothing of another one is kept.
func (q *Query) pin(n int) {
	o := CourseOptions{
		View: q.o.View, CloseAt: q.closeAt, HedgeAfter: q.o.Service.HedgeAfter(), Single: q.o.Single, AskAgain: true, Rand: q.o.Rand,
	}
	if q.o.NoHedge {
		o.HedgeAfter = 0
	}
	if c := q.course; c != nil {
		c.cancelActive(-1)
		q.translate(c.take())
		q.base += len(c.attempts)
		q.before.Sent, q.before.Shed, q.before.OwnOnly = q.before.Sent+c.sent, q.before.Shed+c.shed, q.before.OwnOnly || c.ownOnly
		o.Proven, o.Crashed = c.proven, c.crashed
	}
	q.snapshot = n
	q.searches = nil
	if s := q.o.Service.Snapshots(); n < len(s) {
		for _, p := range s[n].Parts {
			o.Parts = append(o.Parts, CoursePart{Service: q.o.Service, Replicas: p.Replicas, Versions: q.o.Versions})
		}
	}
	q.needed = len(o.Parts)
	q.course = NewCourse(o)
}

// step takes over what the course wants done, and starts another one if the
// targets hold another snapshot than the one pinned.
func (q *Query) step(now time.Time, l []Order) []Action {
	q.translate(l)
	if q.outdated(now) {
		q.restart(now)
	}
	q.closed = q.closed || q.course.Done()
	a := q.actions
	q.actions = nil
	return a
}

func (q *Query) translate(l []Order) {
	for _, o := range l {
		a := Action{Attempt: q.base + o.Attempt, Target: o.Target, Timeout: o.Timeout}
		if o.Target != nil {
			s := q.o.Service.Snapshots()[q.snapshot]
			a.Search = cowsliptarget.Search{
				ID: q.o.ID + "." + strconv.Itoa(a.Attempt), Service: q.o.Service.Name(), Route: q.o.Route,
				IndexVersion: s.IndexVersion, Lo: s.Parts[o.Part].Lo, Hi: s.Parts[o.Part].Hi,
				Query: q.o.Text, DeadlineMillis: max(o.Timeout.Milliseconds(), 1),
			}
			q.searches = append(q.searches, cowsliptarget.SearchReply{})
		}
		q.actions = append(q.actions, a)
	}
}

// outdated tells whether a part is missing because its replicas no longer hold
// the pinned snapshot, while time allows another one.
func (q *Query) outdated(now time.Time) bool {
	if q.course.crashed || q.closeAt.Sub(now) < q.closeAt.Sub(q.o.Start)/restartShare {
		return false
	}
	return slices.ContainsFunc(q.course.parts, func(p part) bool { return p.missing && p.wrong })
}

// restart gives up the pinned snapshot: for another one of the view that is
// whole, else for a newer view, else for what there is.
func (q *Query) restart(now time.Time) {
	s := q.o.Service.Snapshots()
	n := q.snapshot + 1
	switch {
	case n < min(len(s), maxSnapshots) && (q.o.Last || whole(s[n])):
		q.pin(n)
		q.translate(q.course.Begin(now))
		if q.outdated(now) {
			q.restart(now)
		}
	case !q.o.Last:
		q.stale = true
		q.closed = true
		q.course.close()
		q.translate(q.course.take())
	}
}

// whole tells whether a snapshot covers the key space.
func whole(s cowsliproute.Snapshot) bool {
	var n uint32
	for _, p := range s.Parts {
		n += p.Hi - p.Lo
	}
	return n == cowsliptarget.KeySpace
}
