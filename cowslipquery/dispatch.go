package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Limits and retry intervals of a Dispatch.
const (
	defaultMaxAttempts    = 4                    // attempts at one part, over all its replicas, except those known not to have run
	capacityRetryInterval = 2 * time.Millisecond // between attempts to find a replica with capacity
	hedgeRetryInterval    = 4 * time.Millisecond // before retrying a hedge that found no budget or no free slot
)

// partState is the state of one part of the answer: waiting to be sent, in
// flight, done or missing.
type partState struct {
	tried       []*cowsliproute.Target
	shedBy      []*cowsliproute.Target // the replicas in tried that refused the part for load
	shedRetryAt time.Time              // earliest time to send again after all replicas refused for load
	inFlight    int
	attempts    int // requests sent, except those known not to have run
	sends       int // all requests sent
	sentAt      time.Time
	hedged      bool

	hedgeRetryAt time.Time // earliest time to retry a hedge that found no budget or no free slot

	waiting      bool // to be sent as soon as a replica has capacity
	brokenOff    bool // a target broke the part off
	held         bool // to be sent again, as HoldLost says, once a target has answered any part
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

// Dispatch is the state machine that gathers an answer of one or many parts. It sends
// a request for each part to a replica that it picks, retries and hedges requests, and
// closes the answer, after which it accepts no more parts. Create it with NewDispatch.
// It is not safe for concurrent use.
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
	crashes       int  // attempts whose target crashed, as TargetCrashed tells
	brokenOff     bool // a target broke off the request
	probeHedged   bool // a second probe was sent
	probeLost     bool // a probe may have crashed its target
	closed        bool
	answered      bool
	actions       []DispatchAction
}

// NewDispatch returns a Dispatch that has not sent anything yet.
func NewDispatch(o DispatchOptions) *Dispatch {
	if o.MaxAttempts == 0 {
		o.MaxAttempts = defaultMaxAttempts
	}
	d := &Dispatch{options: o, parts: make([]partState, len(o.Parts)), answered: o.Answered, crashed: o.Crashed}
	for i := range d.parts {
		d.parts[i] = partState{waiting: true, winner: -1}
	}
	return d
}

// Start sends the first requests. It sends none if CloseAt has already passed,
// for example after a pause of the process.
func (d *Dispatch) Start(now time.Time) []DispatchAction {
	if !now.Before(d.options.CloseAt) {
		d.close()
		return d.takeActions()
	}
	d.advance(now)
	return d.takeActions()
}

// AttemptEnded handles the end of attempt n. Crashed reports that the target
// crashed while it processed the request.
func (d *Dispatch) AttemptEnded(now time.Time, n int, o cowsliptarget.Outcome, crashed bool) []DispatchAction {
	a := &d.attempts[n]
	a.ended = true
	if !o.NotRun() {
		d.mayHaveRun++
	}
	if d.closed {
		return nil
	}
	if o == cowsliptarget.Shed || o == cowsliptarget.Expired {
		d.shed++
	}
	p := &d.parts[a.part]
	p.inFlight--
	d.crashed = d.crashed || crashed
	if p.settled() {
		return d.takeActions()
	}
	if !now.Before(d.options.CloseAt) {
		d.close()
		return d.takeActions()
	}
	d.handleEnd(now, n, o)
	d.releaseHeld(now)
	d.advance(now)
	return d.takeActions()
}

// Tick sends hedges that are due, retries parts that wait for capacity, and closes
// the answer on time.
func (d *Dispatch) Tick(now time.Time) []DispatchAction {
	if d.closed {
		return nil
	}
	if !now.Before(d.options.CloseAt) {
		d.close()
		return d.takeActions()
	}
	d.sendHedges(now)
	d.advance(now)
	return d.takeActions()
}

// NextTick returns the time at which to call Tick next.
func (d *Dispatch) NextTick(now time.Time) time.Time {
	n := d.options.CloseAt
	if t, ok := d.probeHedgeDue(); ok {
		n = earlier(n, t)
	}
	if e := d.options.PartialAt; !e.IsZero() && e.After(now) {
		n = earlier(n, e)
	}
	for i := range d.parts {
		p := &d.parts[i]
		if p.settled() {
			continue
		}
		if p.waiting && d.sendable(i) {
			n = earlier(n, later(now.Add(capacityRetryInterval), p.shedRetryAt))
		}
		// If a hedge became due while an answer was handled, its time is in the past,
		// and Tick must send it at once.
		if t, ok := d.hedgeDue(i); ok {
			n = earlier(n, t)
		}
	}
	return n
}

// Done reports whether the answer is closed.
func (d *Dispatch) Done() bool { return d.closed }

// Winner returns the index of the attempt that answered part n, or -1 if there is
// none.
func (d *Dispatch) Winner(n int) int { return d.parts[n].winner }

// Sent returns the number of requests sent.
func (d *Dispatch) Sent() int { return d.sent }

// Shed returns the number of requests that a target shed or let expire, up to the time
// at which the answer closed.
func (d *Dispatch) Shed() int { return d.shed }

// DeniedHedges counts how often a hedge was due but could not be sent, by cause.
type DeniedHedges struct {
	NoBudget int // the retry budget was exhausted
	NoSlot   int // no other replica had a free slot
}

// DeniedHedges returns the counts of hedges that could not be sent when due.
func (d *Dispatch) DeniedHedges() DeniedHedges { return d.deniedHedges }

// Late returns the number of parts that were still waiting to be sent or in flight when
// the answer closed.
func (d *Dispatch) Late() int { return d.late }

// NotRun reports whether it is certain that no target has run the request or
// will run it: every attempt has ended and is known not to have run.
func (d *Dispatch) NotRun() bool {
	return d.mayHaveRun == 0 && !slices.ContainsFunc(d.attempts, func(a attempt) bool { return !a.ended })
}

func (d *Dispatch) takeActions() []DispatchAction {
	o := d.actions
	d.actions = nil
	return o
}

// advance sends the waiting parts. It closes the answer once all parts are done or
// missing, once MinParts are done after PartialAt, once too many are missing to reach
// MinParts, or once the probes have failed for good.
func (d *Dispatch) advance(now time.Time) {
	d.sendProbe(now)
	open, done := 0, 0
	for i := range d.parts {
		p := &d.parts[i]
		if !d.probing() && p.waiting && !p.settled() && !now.Before(p.shedRetryAt) && d.sendable(i) {
			d.send(now, i, false)
		}
		if !p.settled() {
			open++
		}
		if p.done {
			done++
		}
	}
	if d.probesFailed() {
		d.stop()
		return
	}
	enough := !d.options.PartialAt.IsZero() && !now.Before(d.options.PartialAt) && done >= d.options.MinParts
	if open == 0 || enough || done+open < d.options.MinParts {
		d.close()
	}
}

// send sends part n to a replica with capacity, or a hedge of it to one with a free
// slot. If there is none, a part that is waiting to be sent keeps waiting until
// CapacityDeadline. A part that may not be sent any more is marked missing, unless a
// request for it is in flight.
func (d *Dispatch) send(now time.Time, n int, hedge bool) {
	p := &d.parts[n]
	if d.crashed && p.sends > 0 {
		p.waiting = false
		p.missing = p.inFlight == 0
		return
	}
	scope := d.options.View.Scope(now)
	if scope == cowsliproute.ScopeNone {
		return
	}
	own := scope == cowsliproute.ScopeOwnDomain
	d.ownDomainOnly = d.ownDomainOnly || own
	t := d.pick(n, own, hedge, now)
	if t == nil {
		if !hedge && (!d.mayTryAnother(n, own) || !d.options.CapacityDeadline.IsZero() && !now.Before(d.options.CapacityDeadline)) {
			p.waiting = false
			p.missing = p.inFlight == 0
		}
		return
	}
	if s := d.options.Parts[n].Service; p.sends == 0 {
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
	d.sent++
	d.attempts = append(d.attempts, attempt{part: n, target: t})
	d.actions = append(d.actions, DispatchAction{Attempt: len(d.attempts) - 1, Part: n, Target: t, Hedge: hedge, Timeout: d.options.CloseAt.Sub(now)})
}

// handleEnd decides whether the part of an ended attempt is done, missing or sent
// again. The part must be neither done nor missing.
func (d *Dispatch) handleEnd(now time.Time, n int, o cowsliptarget.Outcome) {
	a := d.attempts[n]
	p := &d.parts[a.part]
	s := d.options.Parts[a.part].Service
	if o == cowsliptarget.OK {
		p.done = true
		p.waiting = false
		p.winner = n
		d.answered = true
		if !d.options.KeepLosers {
			d.cancelInFlight(a.part)
		}
		return
	}
	if o.NotRun() {
		p.attempts--
	}
	p.brokenOff, d.brokenOff = p.brokenOff || brokenOff(o), d.brokenOff || brokenOff(o)
	if o == cowsliptarget.Shed {
		p.shedBy = append(p.shedBy, a.target)
	}
	if p.inFlight > 0 {
		return
	}
	p.wrongVersion = p.wrongVersion || o == cowsliptarget.WrongVersion
	if d.probing() && !o.NotRun() && o != cowsliptarget.Failed {
		// Another target is spared, as the request may have crashed this one.
		d.probeLost = true
	}
	if !o.NotRun() && (d.crashed || d.options.AtMostOnce || d.probeLost) || d.options.Alert && p.brokenOff {
		p.missing = true
		return
	}
	if d.options.HoldLost && brokenOff(o) && !d.answered {
		p.held = true
		return
	}
	if !d.mayTryAnother(a.part, d.options.View.Scope(now) == cowsliproute.ScopeOwnDomain) && !d.retryShed(now, p) {
		p.missing = true
		return
	}
	if !d.retryIsFree(a, o) && !s.Budget().Spend(now) {
		p.missing = true
		return
	}
	p.waiting = true
}

// retryIsFree reports whether a retry after this outcome costs no retry budget.
func (d *Dispatch) retryIsFree(a attempt, o cowsliptarget.Outcome) bool {
	// Only a few requests prefer a version that is not proven yet. A retry after an
	// attempt at it costs no budget, so that a bad new version does not leave a part
	// without an answer.
	free := d.options.Parts[a.part].Versions.CanFallBack(a.target.Info().Version)
	switch o {
	case cowsliptarget.NotSent, cowsliptarget.Leaving, cowsliptarget.WrongVersion, cowsliptarget.Restarted:
		free = true
	}
	return free
}

func (d *Dispatch) close() {
	if d.closed {
		return
	}
	d.closed = true
	for i := range d.parts {
		if !d.parts[i].settled() {
			d.late++
		}
	}
	if !d.options.KeepLosers {
		d.cancelInFlight(-1)
	}
}

// cancelInFlight cancels the attempts of a part that are in flight, or those of all
// parts if part is -1.
func (d *Dispatch) cancelInFlight(part int) {
	for i := range d.attempts {
		if a := &d.attempts[i]; !a.ended && (part < 0 || a.part == part) {
			d.actions = append(d.actions, DispatchAction{Attempt: i, Part: a.part})
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
