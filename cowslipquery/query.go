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
	part    int
	gen     int
	target  *cowsliproute.Target
	hedge   bool
	ended   bool
	started time.Time
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
	r := Result{Stale: q.stale, Proven: q.proven, OwnOnly: q.ownOnly, Needed: q.needed, Sent: q.sent, Shed: q.shed, Crashed: q.crashed, Items: []cowsliptarget.Item{}}
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

// pin starts the parts of a snapshot afresh; nothing of another one is kept.
func (q *Query) pin(n int) {
	q.cancelActive(func(attempt) bool { return true })
	q.gen++
	q.snapshot = n
	q.parts = nil
	s := q.o.Service.Snapshots()
	if n >= len(s) {
		return
	}
	q.parts = make([]part, len(s[n].Parts))
	for i, p := range s[n].Parts {
		q.parts[i] = part{lo: p.Lo, hi: p.Hi, replicas: p.Replicas, waiting: true}
	}
	q.needed = len(q.parts)
}

// dispatch sends what waits for room and closes the query once all parts are
// settled.
func (q *Query) dispatch(now time.Time) {
	open := 0
	for i := range q.parts {
		p := &q.parts[i]
		if p.waiting && !p.settled() && !(q.o.Single && !q.proven && (i > 0 || p.attempts > 0)) {
			q.send(now, i, false)
		}
		if !p.settled() {
			open++
		}
	}
	if q.o.Single && !q.proven && len(q.parts) > 0 && q.parts[0].missing {
		open = 0
	}
	if open == 0 {
		q.close()
	}
}

// send asks a replica for a part, or leaves it waiting for room. A part that
// no replica can answer is missing.
func (q *Query) send(now time.Time, n int, hedge bool) {
	p := &q.parts[n]
	if q.crashed && p.attempts > 0 {
		p.waiting = false
		p.missing = p.active == 0
		return
	}
	scope := q.o.View.Scope(now)
	if scope == cowsliproute.ScopeNone {
		return
	}
	own := scope == cowsliproute.ScopeOwn
	q.ownOnly = q.ownOnly || own
	t := q.pick(p, own, hedge)
	if t == nil {
		if hedge {
			return
		}
		if !q.reachable(p, own) {
			p.waiting = false
			p.missing = p.active == 0
			q.restart(now, p)
		}
		return
	}
	p.waiting = false
	p.hedged = p.hedged || hedge
	p.active++
	p.attempts++
	p.sentAt = now
	p.tried = append(p.tried, t)
	q.sent++
	id := len(q.attempts)
	q.attempts = append(q.attempts, attempt{part: n, gen: q.gen, target: t, hedge: hedge, started: now})
	left := q.closeAt.Sub(now)
	q.actions = append(q.actions, Action{Attempt: id, Target: t, Timeout: left, Search: cowsliptarget.Search{
		ID: q.o.ID + "." + strconv.Itoa(id), Service: q.o.Service.Name(), Route: q.o.Route,
		IndexVersion: q.o.Service.Snapshots()[q.snapshot].IndexVersion, Lo: p.lo, Hi: p.hi,
		Query: q.o.Text, DeadlineMillis: max(left.Milliseconds(), 1),
	}})
}

func (q *Query) pick(p *part, own, idle bool) *cowsliproute.Target {
	for _, v := range q.versions() {
		o := cowsliproute.PickOptions{Version: v, Own: own, Idle: idle, Except: p.tried}
		if t := q.o.View.Pick(p.replicas, o, q.o.Rand); t != nil {
			return t
		}
	}
	return nil
}

func (q *Query) versions() []string {
	if q.o.Fallback == "" {
		return []string{q.o.Prefer}
	}
	return []string{q.o.Prefer, q.o.Fallback}
}

// reachable tells whether waiting can bring an answer: some replica not tried
// yet may be asked, though it has no room now.
func (q *Query) reachable(p *part, own bool) bool {
	if p.attempts >= maxAttempts {
		return false
	}
	for _, v := range q.versions() {
		if hasUntried(q.o.View, p, v, own) {
			return true
		}
	}
	return false
}

func hasUntried(v *cowsliproute.View, p *part, version string, own bool) bool {
	for _, t := range p.replicas {
		i := t.Info()
		if version != "" && i.Version != version || own && i.FailureDomain != v.FailureDomain() || t.Leaving() {
			continue
		}
		if !slices.Contains(p.tried, t) {
			return true
		}
	}
	return false
}

// handle decides what follows an attempt of an open part.
func (q *Query) handle(now time.Time, p *part, a *attempt, r Reply) {
	free := false
	switch r.Outcome {
	case cowsliptarget.OK:
		p.done = true
		p.waiting = false
		p.items = r.Reply.Items
		q.proven = true
		q.o.Service.Budget().Earn(q.o.Service.Config().ExtraLoad())
		n := a.part
		q.cancelActive(func(x attempt) bool { return x.part == n })
		return
	case cowsliptarget.NotSent, cowsliptarget.Leaving:
		free = true
	case cowsliptarget.WrongVersion:
		free = true
		p.wrong = true
	case cowsliptarget.Shed, cowsliptarget.Expired:
		q.shed++
	}
	if q.o.Fallback != "" && a.target.Info().Version == q.o.Prefer {
		// Few requests prefer a version that is not proven yet; their parts are
		// owed an answer by the one that is.
		free = true
	}
	if p.active > 0 {
		return
	}
	if q.crashed && !r.Outcome.NotRun() {
		p.missing = true
		return
	}
	if !q.reachable(p, q.o.View.Scope(now) == cowsliproute.ScopeOwn) {
		p.missing = true
		q.restart(now, p)
		return
	}
	if !free && !q.o.Service.Budget().Spend() {
		p.missing = true
		return
	}
	p.waiting = true
}

// restart gives up the pinned snapshot if a part is missing because its
// replicas no longer hold it, and time allows: for another one of the view that
// is whole, else for a newer view, else for what there is.
func (q *Query) restart(now time.Time, p *part) {
	if !p.wrong || q.crashed || q.closeAt.Sub(now) < q.closeAt.Sub(q.o.Start)/restartShare {
		return
	}
	s := q.o.Service.Snapshots()
	n := q.snapshot + 1
	more := n < min(len(s), maxSnapshots)
	switch {
	case more && (q.o.Last || whole(s[n])):
		q.pin(n)
	case !q.o.Last:
		q.stale = true
		q.close()
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

func (q *Query) hedgeAt(p *part) (time.Time, bool) {
	h := q.o.Service.HedgeAfter()
	if h == 0 || q.o.NoHedge || q.crashed || q.o.Single && !q.proven || p.active == 0 || p.hedged || p.settled() {
		return time.Time{}, false
	}
	if p.hedgeAgain.After(p.sentAt.Add(h)) {
		return p.hedgeAgain, true
	}
	return p.sentAt.Add(h), true
}

func (q *Query) hedge(now time.Time) {
	for i := range q.parts {
		p := &q.parts[i]
		t, ok := q.hedgeAt(p)
		if !ok || t.After(now) {
			continue
		}
		if !q.o.Service.Budget().Spend() {
			p.hedgeAgain = now.Add(hedgePause)
			continue
		}
		q.send(now, i, true)
		if !p.hedged {
			p.hedgeAgain = now.Add(hedgePause)
			q.o.Service.Budget().Refund()
		}
	}
}

func (q *Query) close() {
	if q.closed {
		return
	}
	q.closed = true
	q.cancelActive(func(attempt) bool { return true })
}

func (q *Query) cancelActive(match func(attempt) bool) {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.ended || a.gen != q.gen || !match(*a) {
			continue
		}
		q.actions = append(q.actions, Action{Attempt: i})
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
