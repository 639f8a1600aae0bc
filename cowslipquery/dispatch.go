package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Constants of a course.
const (
	maxAttempts        = 4                    // per part, over all replicas
	slotRetryInterval  = 2 * time.Millisecond // pause before asking for room again
	hedgeRetryInterval = 4 * time.Millisecond // before a hedge without budget or room is tried again
)

// partState is the state of one part of the answer.
type partState struct {
	tried       []*cowsliproute.Target
	shedBy      []*cowsliproute.Target // of those tried, that refused for load
	shedRetryAt time.Time              // not before, since all replicas refused for load
	inFlight    int
	attempts    int // that may have run
	sends       int
	sentAt      time.Time
	hedged      bool

	hedgeRetryAt time.Time // not before, since the budget or the replicas had no room

	waiting      bool
	done         bool
	missing      bool
	wrongVersion bool
	winner       int
}

func (p *partState) settled() bool { return p.done || p.missing }

type attempt struct {
	part   int
	target *cowsliproute.Target
	ended  bool
}

// Dispatch is the state of a request that is sent to replicas of one or many
// parts: choice of replica, retries, hedges, and when the answer closes. Make
// it with NewCourse; it is not safe for concurrent use.
type Dispatch struct {
	options       DispatchOptions
	parts         []partState
	attempts      []attempt
	sent          int
	shed          int
	hedges        int
	deniedHedges  DeniedHedges
	late          int
	mayHaveRun    int // attempts that are known to have run or may have
	ownDomainOnly bool
	crashed       bool
	closed        bool
	answered      bool
	actions       []DispatchAction
}

// NewDispatch makes a course.
func NewDispatch(o DispatchOptions) *Dispatch {
	if o.Attempts == 0 {
		o.Attempts = maxAttempts
	}
	c := &Dispatch{options: o, parts: make([]partState, len(o.Parts)), answered: o.Answered, crashed: o.Crashed}
	for i := range c.parts {
		c.parts[i] = partState{waiting: true, winner: -1}
	}
	return c
}

// Start sends the first requests, or none if the time is over already, as after
// the process stood still.
func (c *Dispatch) Start(now time.Time) []DispatchAction {
	if !now.Before(c.options.CloseAt) {
		c.close()
		return c.takeActions()
	}
	c.advance(now)
	return c.takeActions()
}

// AttemptEnded handles the end of an attempt. Crashed says that the target went down
// with the request.
func (c *Dispatch) AttemptEnded(now time.Time, n int, o cowsliptarget.Outcome, crashed bool) []DispatchAction {
	a := &c.attempts[n]
	a.ended = true
	if !o.NotRun() {
		c.mayHaveRun++
	}
	if c.closed {
		return nil
	}
	p := &c.parts[a.part]
	p.inFlight--
	c.crashed = c.crashed || crashed
	if p.settled() {
		return c.takeActions()
	}
	if !now.Before(c.options.CloseAt) {
		c.close()
		return c.takeActions()
	}
	c.handleEnd(now, n, o)
	c.advance(now)
	return c.takeActions()
}

// Tick handles the passing of time: hedges, waits for room and the close.
func (c *Dispatch) Tick(now time.Time) []DispatchAction {
	if c.closed {
		return nil
	}
	if !now.Before(c.options.CloseAt) {
		c.close()
		return c.takeActions()
	}
	c.sendHedges(now)
	c.advance(now)
	return c.takeActions()
}

// NextTick is when Tick is due.
func (c *Dispatch) NextTick(now time.Time) time.Time {
	n := c.options.CloseAt
	if e := c.options.PartialAt; !e.IsZero() && e.After(now) {
		n = earlier(n, e)
	}
	for i := range c.parts {
		p := &c.parts[i]
		if p.settled() {
			continue
		}
		if p.waiting {
			n = earlier(n, later(now.Add(slotRetryInterval), p.shedRetryAt))
		}
		// A hedge that fell due while an answer was taken in is due at once.
		if t, ok := c.hedgeDue(p); ok {
			n = earlier(n, t)
		}
	}
	return n
}

// Done tells whether the course is over.
func (c *Dispatch) Done() bool { return c.closed }

// Winner is the attempt that answered a part, or -1 if the part is missing.
func (c *Dispatch) Winner(n int) int { return c.parts[n].winner }

// Sent is the number of requests sent.
func (c *Dispatch) Sent() int { return c.sent }

// Shed is the number of requests that targets refused for load.
func (c *Dispatch) Shed() int { return c.shed }

// DeniedHedges counts the hedges that were due and not sent at once.
type DeniedHedges struct {
	NoBudget int // the retry budget was spent
	NoSlot   int // no other replica had a free slot
}

// DeniedHedges tells why hedges were not sent.
func (c *Dispatch) DeniedHedges() DeniedHedges { return c.deniedHedges }

// Late is the number of parts without an answer when the course closed.
func (c *Dispatch) Late() int { return c.late }

// NotRun tells whether no target has run the request, nor ever will: every
// attempt has ended, and each is known not to have run.
func (c *Dispatch) NotRun() bool {
	return c.mayHaveRun == 0 && !slices.ContainsFunc(c.attempts, func(a attempt) bool { return !a.ended })
}

func (c *Dispatch) takeActions() []DispatchAction {
	o := c.actions
	c.actions = nil
	return o
}

// advance sends what waits for room and closes the course once all parts are
// settled, enough of them are in, or too many are missing.
func (c *Dispatch) advance(now time.Time) {
	open, done := 0, 0
	for i := range c.parts {
		p := &c.parts[i]
		if p.waiting && !p.settled() && !now.Before(p.shedRetryAt) && !(c.options.ProbeFirst && !c.answered && (i > 0 || p.sends > 0)) {
			c.send(now, i, false)
		}
		if !p.settled() {
			open++
		}
		if p.done {
			done++
		}
	}
	if c.options.ProbeFirst && !c.answered && len(c.parts) > 0 && c.parts[0].missing {
		open = 0
	}
	enough := !c.options.PartialAt.IsZero() && !now.Before(c.options.PartialAt) && done >= c.options.MinParts
	if open == 0 || enough || done+open < c.options.MinParts {
		c.close()
	}
}

// send asks a replica for a part, or leaves it waiting for room. A part that
// no replica can answer is missing.
func (c *Dispatch) send(now time.Time, n int, hedge bool) {
	p := &c.parts[n]
	if c.crashed && p.sends > 0 {
		p.waiting = false
		p.missing = p.inFlight == 0
		return
	}
	scope := c.options.View.Scope(now)
	if scope == cowsliproute.ScopeNone {
		return
	}
	own := scope == cowsliproute.ScopeOwnDomain
	c.ownDomainOnly = c.ownDomainOnly || own
	t := c.pick(n, own, hedge, now)
	if t == nil {
		if !hedge && (!c.mayTryAnother(n, own) || !c.options.SlotDeadline.IsZero() && !now.Before(c.options.SlotDeadline)) {
			p.waiting = false
			p.missing = p.inFlight == 0
		}
		return
	}
	if s := c.options.Parts[n].Service; p.sends == 0 {
		s.Budget().Earn(s.Config().ExtraLoad())
	}
	t.RecordSent(now)
	p.waiting = false
	p.hedged = p.hedged || hedge
	p.inFlight++
	p.sends++
	p.attempts++
	p.sentAt = now
	p.tried = append(p.tried, t)
	c.sent++
	c.attempts = append(c.attempts, attempt{part: n, target: t})
	c.actions = append(c.actions, DispatchAction{Attempt: len(c.attempts) - 1, Part: n, Target: t, Hedge: hedge, Timeout: c.options.CloseAt.Sub(now)})
}

func (c *Dispatch) pick(n int, own, idle bool, now time.Time) *cowsliproute.Target {
	for _, v := range c.options.Parts[n].Versions.Sets() {
		o := cowsliproute.PickOptions{Version: v, OwnDomainOnly: own, IdleOnly: idle, Exclude: c.parts[n].tried, Now: now, PreferOwnDomain: c.options.PreferOwnDomain}
		if t := c.options.View.Pick(c.options.Parts[n].Replicas, o, c.options.Rand); t != nil {
			return t
		}
	}
	return nil
}

// mayTryAnother tells whether waiting can bring an answer: some replica not tried
// yet may be asked, though it has no room now.
func (c *Dispatch) mayTryAnother(n int, own bool) bool {
	p := &c.parts[n]
	if p.attempts >= c.options.Attempts || p.sends >= c.maxSends() {
		return false
	}
	return slices.ContainsFunc(c.options.Parts[n].Versions.Sets(), func(v cowsliproute.VersionSet) bool { return c.hasUntriedReplica(n, v, own) })
}

func (c *Dispatch) hasUntriedReplica(n int, version cowsliproute.VersionSet, own bool) bool {
	return slices.ContainsFunc(c.options.Parts[n].Replicas, func(t *cowsliproute.Target) bool {
		i := t.Info()
		if !version.Allows(i.Version) || own && i.FailureDomain != c.options.View.FailureDomain() || t.Leaving() {
			return false
		}
		return !slices.Contains(c.parts[n].tried, t)
	})
}

// handleEnd decides what follows the end of an attempt of an open part.
func (c *Dispatch) handleEnd(now time.Time, n int, o cowsliptarget.Outcome) {
	a := c.attempts[n]
	p := &c.parts[a.part]
	s := c.options.Parts[a.part].Service
	if o == cowsliptarget.OK {
		p.done = true
		p.waiting = false
		p.winner = n
		c.answered = true
		if !c.options.KeepLosers {
			c.cancelInFlight(a.part)
		}
		return
	}
	if o.NotRun() {
		p.attempts--
	}
	if o == cowsliptarget.Shed {
		p.shedBy = append(p.shedBy, a.target)
	}
	if p.inFlight > 0 {
		return
	}
	p.wrongVersion = p.wrongVersion || o == cowsliptarget.WrongVersion
	if c.crashed && !o.NotRun() || c.options.AtMostOnce && !o.NotRun() {
		p.missing = true
		return
	}
	if !c.mayTryAnother(a.part, c.options.View.Scope(now) == cowsliproute.ScopeOwnDomain) && !c.retryShed(now, p) {
		p.missing = true
		return
	}
	if !c.retryIsFree(a, o) && !s.Budget().Spend(now) {
		p.missing = true
		return
	}
	p.waiting = true
}

// retryIsFree tells whether a retry after this end draws on no budget, and notes what
// the end tells of the course.
func (c *Dispatch) retryIsFree(a attempt, o cowsliptarget.Outcome) bool {
	// Few requests prefer a version that is not proven yet; their parts are
	// owed an answer by the one that is.
	free := c.options.Parts[a.part].Versions.PrefersOverFallback(a.target.Info().Version)
	switch o {
	case cowsliptarget.NotSent, cowsliptarget.Leaving, cowsliptarget.WrongVersion, cowsliptarget.Restarted:
		free = true
	case cowsliptarget.Shed, cowsliptarget.Expired:
		c.shed++
	}
	return free
}

func (c *Dispatch) close() {
	if c.closed {
		return
	}
	c.closed = true
	for i := range c.parts {
		if !c.parts[i].settled() {
			c.late++
		}
	}
	if !c.options.KeepLosers {
		c.cancelInFlight(-1)
	}
}

// cancelInFlight cancels the open attempts of a part, or of all parts for -1.
func (c *Dispatch) cancelInFlight(part int) {
	for i := range c.attempts {
		if a := &c.attempts[i]; !a.ended && (part < 0 || a.part == part) {
			c.actions = append(c.actions, DispatchAction{Attempt: i, Part: a.part})
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
