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

// Constants of a Query.
const (
	mergeMarginDivisor = 20 // the merge closes early by 1/20 of the deadline
	restartTimeDivisor = 2  // no restart on another snapshot once less than 1/2 of the time from Start to the close is left
	maxSnapshots       = 3  // snapshots tried for each query
	minDeadline        = time.Millisecond
)

// Options configure a Query.
type Options struct {
	ID          string
	View        *cowsliproute.View
	Service     *cowsliproute.Service
	Route       string
	QueryText   string
	Start       time.Time
	Deadline    time.Duration
	Versions    cowsliproute.VersionPreference
	ProbeFirst  bool // probe the first part, as Probes of DispatchOptions says
	NoHedge     bool // disable hedging, as a baseline for measurements
	AcceptStale bool // answer from this view, even if it no longer fits what the targets hold
	Rand        *rand.Rand
}

// Action tells the caller of a Query to send Search to Target or, if Target is nil,
// to cancel attempt Attempt. The caller must call Target.Release when an attempt
// ends.
type Action struct {
	Attempt int
	Target  *cowsliproute.Target
	Search  cowsliptarget.Search
	Timeout time.Duration
}

// AttemptResult is how an attempt ended. Reply is valid only if Outcome is OK. Crashed
// reports that the target crashed while it processed the request.
type AttemptResult struct {
	Outcome cowsliptarget.Outcome
	Reply   cowsliptarget.SearchReply
	Crashed bool
}

// Result is the answer to a query with its coverage.
type Result struct {
	IndexVersion  uint64               `json:"indexVersion"`
	Items         []cowsliptarget.Item `json:"items"`
	Coverage      Coverage             `json:"coverage"`
	OwnDomainOnly bool                 `json:"ownFailureDomainOnly"` // at some time during the query, only targets of this instance's failure domain could be asked, because the configuration was not confirmed in time
	Needed        int                  `json:"needed"`
	Sent          int                  `json:"sent"`
	Shed          int                  `json:"shed"`
	Late          int                  `json:"late"` // parts that were still waiting to be sent or in flight when the merge closed
	Crashed       bool                 `json:"crashed"`
	Answered      bool                 `json:"-"` // a target has answered the request
	Stale         bool                 `json:"-"` // given up early because the targets no longer hold the view's snapshots; the caller should run the query again with a newer view
}

// Query is one query over the shards of a service: a Dispatch over the shards of a
// pinned snapshot. Create it with New. It is not safe for concurrent use.
type Query struct {
	options      Options
	closeAt      time.Time
	snapshot     int
	dispatch     *Dispatch
	firstAttempt int // index of the first attempt on the pinned snapshot
	replies      []cowsliptarget.SearchReply
	previous     Result // counts from abandoned snapshots
	needed       int
	closed       bool
	stale        bool
	actions      []Action
}

// New returns a Query that has not sent anything yet.
func New(o Options) *Query {
	d := max(o.Deadline, minDeadline)
	return &Query{options: o, closeAt: o.Start.Add(d - d/mergeMarginDivisor)}
}

// Start pins a snapshot and sends the first sub-requests.
func (q *Query) Start(now time.Time) []Action {
	q.pinSnapshot(0)
	return q.update(now, q.dispatch.Start(now))
}

// AttemptEnded handles the end of attempt n. It ignores attempts on abandoned
// snapshots.
func (q *Query) AttemptEnded(now time.Time, n int, r AttemptResult) []Action {
	if n < q.firstAttempt || q.closed {
		return nil
	}
	q.replies[n-q.firstAttempt] = r.Reply
	return q.update(now, q.dispatch.AttemptEnded(now, n-q.firstAttempt, r.Outcome, r.Crashed))
}

// Tick sends hedges that are due, retries parts that wait for capacity, and closes
// the merge on time.
func (q *Query) Tick(now time.Time) []Action {
	if q.closed {
		return nil
	}
	return q.update(now, q.dispatch.Tick(now))
}

// NextTick returns the time at which to call Tick next.
func (q *Query) NextTick(now time.Time) time.Time { return q.dispatch.NextTick(now) }

// Done reports whether the result is final.
func (q *Query) Done() bool { return q.closed }

// Result returns the answer. It is final once Done reports true.
func (q *Query) Result() Result {
	r := q.previous
	d := q.dispatch
	r.Stale, r.Needed, r.Items = q.stale, q.needed, []cowsliptarget.Item{}
	r.Sent, r.Shed, r.Late = r.Sent+d.sent, r.Shed+d.shed, r.Late+d.late
	r.Answered, r.OwnDomainOnly, r.Crashed = d.answered, r.OwnDomainOnly || d.ownDomainOnly, d.crashed
	var l []Range
	if s := q.options.Service.Snapshots(); q.snapshot < len(s) {
		r.IndexVersion = s[q.snapshot].IndexVersion
		for i, p := range s[q.snapshot].Shards {
			if w := d.Winner(i); w >= 0 {
				l = append(l, Range{Lo: p.Lo, Hi: p.Hi})
				r.Items = append(r.Items, q.replies[w].Items...)
			}
		}
	}
	slices.SortStableFunc(r.Items, func(a, b cowsliptarget.Item) int {
		return cmp.Or(cmp.Compare(a.Key, b.Key), cmp.Compare(a.Text, b.Text))
	})
	r.Coverage = Cover(l)
	return r
}

// pinSnapshot creates a new Dispatch for snapshot n. It drops the answers from the
// previous snapshot, but keeps its counts and whether a target has answered or
// crashed.
func (q *Query) pinSnapshot(n int) {
	o := DispatchOptions{
		View: q.options.View, CloseAt: q.closeAt, HedgeAfter: q.options.Service.HedgeAfter(), RetryShed: true, Rand: q.options.Rand,
	}
	if q.options.NoHedge {
		o.HedgeAfter = 0
	}
	if d := q.dispatch; d != nil {
		d.cancelInFlight(-1)
		q.addActions(d.takeActions())
		q.firstAttempt += len(d.attempts)
		q.previous.Sent, q.previous.Shed, q.previous.OwnDomainOnly = q.previous.Sent+d.sent, q.previous.Shed+d.shed, q.previous.OwnDomainOnly || d.ownDomainOnly
		o.Answered, o.Crashed = d.answered, d.crashed
	}
	q.snapshot = n
	q.replies = nil
	if s := q.options.Service.Snapshots(); n < len(s) {
		for _, p := range s[n].Shards {
			o.Parts = append(o.Parts, DispatchPart{Service: q.options.Service, Replicas: p.Replicas, Versions: q.options.Versions})
		}
	}
	if q.options.ProbeFirst && len(o.Parts) > 0 {
		o.Probes = []int{0}
	}
	q.needed = len(o.Parts)
	q.dispatch = NewDispatch(o)
}

// update converts the actions of the Dispatch, restarts the query if the targets no
// longer hold the pinned snapshot, and returns all pending actions.
func (q *Query) update(now time.Time, l []DispatchAction) []Action {
	q.addActions(l)
	if q.shouldRestart(now) {
		q.restart(now)
	}
	q.closed = q.closed || q.dispatch.Done()
	a := q.actions
	q.actions = nil
	return a
}

func (q *Query) addActions(l []DispatchAction) {
	for _, o := range l {
		a := Action{Attempt: q.firstAttempt + o.Attempt, Target: o.Target, Timeout: o.Timeout}
		if o.Target != nil {
			s := q.options.Service.Snapshots()[q.snapshot]
			a.Search = cowsliptarget.Search{
				ID: q.options.ID + "." + strconv.Itoa(a.Attempt), Service: q.options.Service.Name(), Route: q.options.Route,
				IndexVersion: s.IndexVersion, Lo: s.Shards[o.Part].Lo, Hi: s.Shards[o.Part].Hi,
				Query: q.options.QueryText, DeadlineMillis: max(o.Timeout.Milliseconds(), 1),
			}
			q.replies = append(q.replies, cowsliptarget.SearchReply{})
		}
		q.actions = append(q.actions, a)
	}
}

// shouldRestart reports whether a part is missing because a replica no longer holds
// the pinned snapshot, and enough time is left to query another one. A request that
// crashed a target is not restarted.
func (q *Query) shouldRestart(now time.Time) bool {
	if q.dispatch.crashed || q.closeAt.Sub(now) < q.closeAt.Sub(q.options.Start)/restartTimeDivisor {
		return false
	}
	return slices.ContainsFunc(q.dispatch.parts, func(p partState) bool { return p.missing && p.wrongVersion })
}

// restart pins the view's next snapshot if that covers the key space or AcceptStale
// is set. Without a next snapshot, or after maxSnapshots, it keeps the pinned one if
// AcceptStale is set. In all other cases it marks the query stale.
func (q *Query) restart(now time.Time) {
	s := q.options.Service.Snapshots()
	n := q.snapshot + 1
	switch {
	case n < min(len(s), maxSnapshots) && (q.options.AcceptStale || coversKeySpace(s[n])):
		q.pinSnapshot(n)
		q.addActions(q.dispatch.Start(now))
		if q.shouldRestart(now) {
			q.restart(now)
		}
	case !q.options.AcceptStale:
		q.stale = true
		q.closed = true
		q.dispatch.close()
		q.addActions(q.dispatch.takeActions())
	}
}

// coversKeySpace reports whether a snapshot covers the whole key space.
func coversKeySpace(s cowsliproute.Snapshot) bool {
	var n uint32
	for _, p := range s.Shards {
		n += p.Hi - p.Lo
	}
	return n == cowsliptarget.KeySpace
}
