package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Constants of a course.
const (
	maxAttempts = 4                    // per part, over all replicas
	waitForRoom = 2 * time.Millisecond // pause before asking for room again
	hedgePause  = 4 * time.Millisecond // before a hedge without budget or room is tried again
)

// part is the state of one part of the answer.
type part struct {
	tried    []*cowsliproute.Target
	shed     []*cowsliproute.Target // of those tried, that refused for load
	again    time.Time              // not before, since all replicas refused for load
	active   int
	attempts int // that may have run
	sends    int
	sentAt   time.Time
	hedged   bool

	hedgeAgain time.Time // not before, since the budget or the replicas had no room

	waiting bool
	done    bool
	missing bool
	wrong   bool
	winner  int
}

func (p *part) settled() bool { return p.done || p.missing }

type attempt struct {
	part   int
	target *cowsliproute.Target
	ended  bool
}

// Course is the state of a request that is sent to replicas of one or many
// parts: choice of replica, retries, hedges, and when the answer closes. Make
// it with NewCourse; it is not safe for concurrent use.
type Course struct {
	o        CourseOptions
	parts    []part
	attempts []attempt
	sent     int
	shed     int
	hedges   int
	denied   Denied
	late     int
	ran      int // attempts that are known to have run or may have
	ownOnly  bool
	crashed  bool
	closed   bool
	proven   bool
	orders   []Order
}

// NewCourse makes a course.
func NewCourse(o CourseOptions) *Course {
	if o.Attempts == 0 {
		o.Attempts = maxAttempts
	}
	c := &Course{o: o, parts: make([]part, len(o.Parts)), proven: o.Proven, crashed: o.Crashed}
	for i := range c.parts {
		c.parts[i] = part{waiting: true, winner: -1}
	}
	return c
}

// Begin sends the first requests, or none if the time is over already, as after
// the process stood still.
func (c *Course) Begin(now time.Time) []Order {
	if !now.Before(c.o.CloseAt) {
		c.close()
		return c.take()
	}
	c.dispatch(now)
	return c.take()
}

// Ended handles the end of an attempt. Crashed says that the target went down
// with the request.
func (c *Course) Ended(now time.Time, n int, o cowsliptarget.Outcome, crashed bool) []Order {
	a := &c.attempts[n]
	a.ended = true
	if !o.NotRun() {
		c.ran++
	}
	if c.closed {
		return nil
	}
	p := &c.parts[a.part]
	p.active--
	c.crashed = c.crashed || crashed
	if p.settled() {
		return c.take()
	}
	if !now.Before(c.o.CloseAt) {
		c.close()
		return c.take()
	}
	c.handle(now, n, o)
	c.dispatch(now)
	return c.take()
}

// Tick handles the passing of time: hedges, waits for room and the close.
func (c *Course) Tick(now time.Time) []Order {
	if c.closed {
		return nil
	}
	if !now.Before(c.o.CloseAt) {
		c.close()
		return c.take()
	}
	c.hedge(now)
	c.dispatch(now)
	return c.take()
}

// Next is when Tick is due.
func (c *Course) Next(now time.Time) time.Time {
	n := c.o.CloseAt
	if e := c.o.EnoughAt; !e.IsZero() && e.After(now) {
		n = earlier(n, e)
	}
	for i := range c.parts {
		p := &c.parts[i]
		if p.settled() {
			continue
		}
		if p.waiting {
			n = earlier(n, later(now.Add(waitForRoom), p.again))
		}
		// A hedge that fell due while an answer was taken in is due at once.
		if t, ok := c.hedgeAt(p); ok {
			n = earlier(n, t)
		}
	}
	return n
}

// Done tells whether the course is over.
func (c *Course) Done() bool { return c.closed }

// Winner is the attempt that answered a part, or -1 if the part is missing.
func (c *Course) Winner(n int) int { return c.parts[n].winner }

// Sent is the number of requests sent.
func (c *Course) Sent() int { return c.sent }

// Shed is the number of requests that targets refused for load.
func (c *Course) Shed() int { return c.shed }

// Denied counts the hedges that were due and not sent at once.
type Denied struct {
	Budget int // the retry budget was spent
	Room   int // no other replica had a free slot
}

// Denied tells why hedges were not sent.
func (c *Course) Denied() Denied { return c.denied }

// Late is the number of parts without an answer when the course closed.
func (c *Course) Late() int { return c.late }

// NotRun tells whether no target has run the request, nor ever will: every
// attempt has ended, and each is known not to have run.
func (c *Course) NotRun() bool {
	return c.ran == 0 && !slices.ContainsFunc(c.attempts, func(a attempt) bool { return !a.ended })
}

func (c *Course) take() []Order {
	o := c.orders
	c.orders = nil
	return o
}

// dispatch sends what waits for room and closes the course once all parts are
// settled, enough of them are in, or too many are missing.
func (c *Course) dispatch(now time.Time) {
	open, done := 0, 0
	for i := range c.parts {
		p := &c.parts[i]
		if p.waiting && !p.settled() && !now.Before(p.again) && !(c.o.Single && !c.proven && (i > 0 || p.sends > 0)) {
			c.send(now, i, false)
		}
		if !p.settled() {
			open++
		}
		if p.done {
			done++
		}
	}
	if c.o.Single && !c.proven && len(c.parts) > 0 && c.parts[0].missing {
		open = 0
	}
	enough := !c.o.EnoughAt.IsZero() && !now.Before(c.o.EnoughAt) && done >= c.o.Least
	if open == 0 || enough || done+open < c.o.Least {
		c.close()
	}
}

// send asks a replica for a part, or leaves it waiting for room. A part that
// no replica can answer is missing.
func (c *Course) send(now time.Time, n int, hedge bool) {
	p := &c.parts[n]
	if c.crashed && p.sends > 0 {
		p.waiting = false
		p.missing = p.active == 0
		return
	}
	scope := c.o.View.Scope(now)
	if scope == cowsliproute.ScopeNone {
		return
	}
	own := scope == cowsliproute.ScopeOwn
	c.ownOnly = c.ownOnly || own
	t := c.pick(n, own, hedge, now)
	if t == nil {
		if !hedge && (!c.reachable(n, own) || !c.o.RoomBy.IsZero() && !now.Before(c.o.RoomBy)) {
			p.waiting = false
			p.missing = p.active == 0
		}
		return
	}
	if s := c.o.Parts[n].Service; p.sends == 0 {
		s.Budget().Earn(s.Config().ExtraLoad())
	}
	t.Sent(now)
	p.waiting = false
	p.hedged = p.hedged || hedge
	p.active++
	p.sends++
	p.attempts++
	p.sentAt = now
	p.tried = append(p.tried, t)
	c.sent++
	c.attempts = append(c.attempts, attempt{part: n, target: t})
	c.orders = append(c.orders, Order{Attempt: len(c.attempts) - 1, Part: n, Target: t, Hedge: hedge, Timeout: c.o.CloseAt.Sub(now)})
}

func (c *Course) pick(n int, own, idle bool, now time.Time) *cowsliproute.Target {
	for _, v := range c.o.Parts[n].Versions.Sets() {
		o := cowsliproute.PickOptions{Version: v, Own: own, Idle: idle, Except: c.parts[n].tried, Now: now, Near: c.o.Near}
		if t := c.o.View.Pick(c.o.Parts[n].Replicas, o, c.o.Rand); t != nil {
			return t
		}
	}
	return nil
}

// reachable tells whether waiting can bring an answer: some replica not tried
// yet may be asked, though it has no room now.
func (c *Course) reachable(n int, own bool) bool {
	p := &c.parts[n]
	if p.attempts >= c.o.Attempts || p.sends >= c.maxSends() {
		return false
	}
	return slices.ContainsFunc(c.o.Parts[n].Versions.Sets(), func(v cowsliproute.VersionSet) bool { return c.untried(n, v, own) })
}

func (c *Course) untried(n int, version cowsliproute.VersionSet, own bool) bool {
	return slices.ContainsFunc(c.o.Parts[n].Replicas, func(t *cowsliproute.Target) bool {
		i := t.Info()
		if !version.Allows(i.Version) || own && i.FailureDomain != c.o.View.FailureDomain() || t.Leaving() {
			return false
		}
		return !slices.Contains(c.parts[n].tried, t)
	})
}

// handle decides what follows the end of an attempt of an open part.
func (c *Course) handle(now time.Time, n int, o cowsliptarget.Outcome) {
	a := c.attempts[n]
	p := &c.parts[a.part]
	s := c.o.Parts[a.part].Service
	if o == cowsliptarget.OK {
		p.done = true
		p.waiting = false
		p.winner = n
		c.proven = true
		if !c.o.KeepLosers {
			c.cancelActive(a.part)
		}
		return
	}
	if o.NotRun() {
		p.attempts--
	}
	if o == cowsliptarget.Shed {
		p.shed = append(p.shed, a.target)
	}
	if p.active > 0 {
		return
	}
	p.wrong = p.wrong || o == cowsliptarget.WrongVersion
	if c.crashed && !o.NotRun() || c.o.Once && !o.NotRun() {
		p.missing = true
		return
	}
	if !c.reachable(a.part, c.o.View.Scope(now) == cowsliproute.ScopeOwn) && !c.askAgain(now, p) {
		p.missing = true
		return
	}
	if !c.free(a, o) && !s.Budget().Spend(now) {
		p.missing = true
		return
	}
	p.waiting = true
}

// free tells whether a retry after this end draws on no budget, and notes what
// the end tells of the course.
func (c *Course) free(a attempt, o cowsliptarget.Outcome) bool {
	// Few requests prefer a version that is not proven yet; their parts are
	// owed an answer by the one that is.
	free := c.o.Parts[a.part].Versions.Unproven(a.target.Info().Version)
	switch o {
	case cowsliptarget.NotSent, cowsliptarget.Leaving, cowsliptarget.WrongVersion, cowsliptarget.Restarted:
		free = true
	case cowsliptarget.Shed, cowsliptarget.Expired:
		c.shed++
	}
	return free
}

func (c *Course) close() {
	if c.closed {
		return
	}
	c.closed = true
	for i := range c.parts {
		if !c.parts[i].settled() {
			c.late++
		}
	}
	if !c.o.KeepLosers {
		c.cancelActive(-1)
	}
}

// cancelActive cancels the open attempts of a part, or of all parts for -1.
func (c *Course) cancelActive(part int) {
	for i := range c.attempts {
		if a := &c.attempts[i]; !a.ended && (part < 0 || a.part == part) {
			c.orders = append(c.orders, Order{Attempt: i, Part: a.part})
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}
