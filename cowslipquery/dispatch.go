package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Limits and retry intervals of a Dispatch.
const (
	defaultMaxAttempts = 4                    // requests for one part, over all its replicas
	slotRetryInterval  = 2 * time.Millisecond // between attempts to find a replica with a free slot
	hedgeRetryInterval = 4 * time.Millisecond // before retrying a hedge that found no budget or no free slot
)

// partState is the state of one part of the answer: waiting to be sent, in
// flight, done or missing.
type partState struct {
	tried       []*cowsliproute.Target
	shedBy      []*cowsliproute.Target // the replicas in tried that refused the part for load
	shedRetryAt time.Time              // earliest time to send again after all replicas refused for load
	inFlight    int
	attempts    int // requests that ran or may still run
	sends       int // requests sent, including those known not to have run
	sentAt      time.Time
	hedged      bool

	hedgeRetryAt time.Time // earliest time to retry a hedge that found no budget or no free slot

	waiting      bool // to be sent as soon as a replica has a free slot
	done         bool
	missing      bool
	wrongVersion bool // a replica no longer holds the requested index version
	winner       int  // index of the attempt that answered, -1 if there is none
}

func (p *partState) settled() bool { return p.done || p.missing }

type attempt struct {
	part   int
	target *cowsliproute.Target
	ended  bool
}

// Dispatch is the state machine that sends one request to replicas of one or
// many parts. It chooses the replicas, retries and hedges, and decides when the
// answer closes. Create it with NewDispatch. It is not safe for concurrent use.
type Dispatch struct {
	options       DispatchOptions
	parts         []partState
	attempts      []attempt
	sent          int
	shed          int
	hedges        int
	deniedHedges  DeniedHedges
	late          int
	mayHaveRun    int // ended attempts that ran or may have run
	ownDomainOnly bool
	crashed       bool
	closed        bool
	answered      bool
	actions       []DispatchAction
}

// NewDispatch returns a Dispatch that has not sent anything yet.
func NewDispatch(o DispatchOptions) *Dispatch {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	c := &Dispatch{options: o, parts: make([]partState, len(o.Parts)), answered: o.Answered, crashed: o.Crashed}
	for i := range c.parts {
		c.parts[i] = partState{waiting: true, winner: -1}
	}
	return c
}

// Start sends the first requests. It sends none if CloseAt has already passed,
// for example after a pause of the process.
func (c *Dispatch) Start(now time.Time) []DispatchAction {
	if !now.Before(c.options.CloseAt) {
		c.close()
		return c.takeActions()
	}
	c.advance(now)
	return c.takeActions()
}

// AttemptEnded handles the end of attempt n. Crashed reports that the target
// crashed while it processed the request.
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

// Tick sends hedges that are due, retries parts that wait for a free slot, and
// closes the answer on time.
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

// NextTick returns the time at which to call Tick next.
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
		// A hedge that became due while an answer was handled is due immediately,
		// so its time may already have passed.
		if t, ok := c.hedgeDue(p); ok {
			n = earlier(n, t)
		}
	}
	return n
}

// Done reports whether the answer is closed.
func (c *Dispatch) Done() bool { return c.closed }

// Winner returns the index of the attempt that answered part n, or -1 if there is
// none.
func (c *Dispatch) Winner(n int) int { return c.parts[n].winner }

// Sent returns the number of requests sent.
func (c *Dispatch) Sent() int { return c.sent }

// Shed returns how many times a retry was considered because a target had shed the
// request or let it expire.
func (c *Dispatch) Shed() int { return c.shed }

// DeniedHedges counts attempts to send a due hedge that failed, by cause.
type DeniedHedges struct {
	NoBudget int // the retry budget was exhausted
	NoSlot   int // no other replica had a free slot
}

// DeniedHedges returns the counts of hedges that could not be sent when due.
func (c *Dispatch) DeniedHedges() DeniedHedges { return c.deniedHedges }

// Late returns the number of parts that were still open when the answer closed.
func (c *Dispatch) Late() int { return c.late }

// NotRun reports whether it is certain that no target has run the request or
// will run it: every attempt has ended and is known not to have run.
func (c *Dispatch) NotRun() bool {
	return c.mayHaveRun == 0 && !slices.ContainsFunc(c.attempts, func(a attempt) bool { return !a.ended })
}

func (c *Dispatch) takeActions() []DispatchAction {
	o := c.actions
	c.actions = nil
	return o
}

// advance sends the parts that wait for a free slot. It closes the answer once all
// parts are done or missing, once enough are done after PartialAt, or once too
// many are missing to reach MinParts.
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

// send sends part n to a replica. If no replica has a free slot, the part keeps
// waiting; if no replica can answer it any more, it is marked missing.
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

func (c *Dispatch) pick(n int, ownDomain, idle bool, now time.Time) *cowsliproute.Target {
	for _, v := range c.options.Parts[n].Versions.Sets() {
		o := cowsliproute.PickOptions{Version: v, OwnDomainOnly: ownDomain, IdleOnly: idle, Exclude: c.parts[n].tried, Now: now, PreferOwnDomain: c.options.PreferOwnDomain}
		if t := c.options.View.Pick(c.options.Parts[n].Replicas, o, c.options.Rand); t != nil {
			return t
		}
	}
	return nil
}

// mayTryAnother reports whether part n is within its attempt limits and has a
// replica that was not tried yet, whether or not that has a free slot now.
func (c *Dispatch) mayTryAnother(n int, ownDomain bool) bool {
	p := &c.parts[n]
	if p.attempts >= c.options.MaxAttempts || p.sends >= c.maxSends() {
		return false
	}
	return slices.ContainsFunc(c.options.Parts[n].Versions.Sets(), func(v cowsliproute.VersionSet) bool { return c.hasUntriedReplica(n, v, ownDomain) })
}

func (c *Dispatch) hasUntriedReplica(n int, version cowsliproute.VersionSet, ownDomain bool) bool {
	return slices.ContainsFunc(c.options.Parts[n].Replicas, func(t *cowsliproute.Target) bool {
		i := t.Info()
		if !version.Allows(i.Version) || ownDomain && i.FailureDomain != c.options.View.FailureDomain() || t.Leaving() {
			return false
		}
		return !slices.Contains(c.parts[n].tried, t)
	})
}

// handleEnd decides whether the part of an ended attempt is done, missing or sent
// again. The part must be neither done nor missing.
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

// retryIsFree reports whether a retry after this outcome costs no retry budget. It
// also counts the request for Shed if the target shed it or let it expire.
func (c *Dispatch) retryIsFree(a attempt, o cowsliptarget.Outcome) bool {
	// Only a few requests prefer a version that is not proven yet. When it does
	// not answer, they must still be able to get an answer from the fallback.
	free := c.options.Parts[a.part].Versions.CanFallBack(a.target.Info().Version)
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

// cancelInFlight cancels the attempts of a part that are in flight, or those of all
// parts if part is -1.
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
