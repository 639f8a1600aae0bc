package cowslipentry

import (
	"context"
	"maps"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
	"cowslipflow/cowslipworkspace"
)

// Constants of forwarded requests.
const (
	// minProcessingTime and processingTimeDivisor set the time reserved before the
	// latency target to read, merge and write an answer, in addition to the round trip
	// to the caller: minProcessingTime or 1/15 of the latency target, whichever is
	// longer. The work takes some milliseconds on a fraction of a core.
	minProcessingTime     = 4 * time.Millisecond
	processingTimeDivisor = 15
	// defaultRoundTrip is assumed for callers whose round-trip time is unknown.
	defaultRoundTrip = 2 * time.Millisecond
	// maxLagDivisor limits the time reserved for this instance's own lag to 1/4 of
	// the latency target.
	maxLagDivisor = 4
	// maxCloseMargin is how long before its timeout a request is given up, so that
	// the caller receives the final answer in time.
	maxCloseMargin = 20 * time.Millisecond
	// closeMarginDivisor limits that margin to 1/20 of a short timeout.
	closeMarginDivisor = 20
	// hedgeDivisor limits hedges to 1/4 of the parts of an answer. The limit is at
	// least minHedgeLimit.
	hedgeDivisor  = 4
	minHedgeLimit = 2
	// coverageTolerance absorbs rounding errors in the required number of shards.
	coverageTolerance = 1e-9
	// capacityWaitDivisor sets how long a request to a single service waits for a target
	// with capacity before it is refused: 1/4 of the latency target.
	capacityWaitDivisor = 4
	// shortRetryAfter is the delay that refused callers are told to wait if another
	// instance can probably serve the request.
	shortRetryAfter = 50 * time.Millisecond
	// quarantineRetryAfter is the delay that the caller of a request is told to wait that
	// has crashed targets.
	quarantineRetryAfter = time.Minute
)

// Reasons why a request is refused before any target is chosen.
const (
	unconfiguredReason = "no configuration is known yet"
	noRouteReason      = "no route for this host and path"
	heldReason         = "the request has crashed targets and is held"
	stoppingReason     = "the instance is stopping and has too little time left"
)

func unknownServiceReason(name string) string {
	return "service " + name + " is not in the configuration"
}

// forward is the state of one forwarded request.
type forward struct {
	*Entry
	request  Request
	view     *cowsliproute.View
	route    *cowsliproute.Route
	start    time.Time
	closeAt  time.Time // latest time at which the answer closes, complete or not; later parts are not awaited
	dispatch *cowslipquery.Dispatch
	options  cowslipquery.DispatchOptions // of dispatch

	fingerprint uint64 // of the request's content and caller; the same each time the caller sends it
	family      uint64 // of requests that may crash targets for the same reason
	copies      uint64 // of the same request by any caller
	content     uint64 // of requests of any caller that may crash targets for the same reason
	incident    string // identifies this sending of the request; a caller may send several with one ID
	suspicion   cowsliproute.Suspicion
	trial       *cowslipcontrol.SharedHold // as the store shows it; nil if the request is not sent as a trial

	workspace *cowslipworkspace.Workspace // nil if the request has none; set before anything is sent
	guard     forwardGuard
	admission *admissionPool // that admitted the request; nil if none did
	cost      float64        // of the request in that pool

	relayedBy string // ID of the instance that served the request for this one, empty if none did

	partialAt time.Time // for gather routes: from then on, the answer closes as soon as it has minParts parts
	minParts  int
	services  []string // names of the services asked, one for each part
	releases  []func() // release the versions chosen for the parts
	results   chan forwardResult
	done      chan struct{} // closed when results is no longer read
	cancels   []context.CancelFunc
	attempts  []forwardResult // by attempt number; Cancelled until the attempt ends

	mu        sync.Mutex
	ended     bool                           // no response is used any more
	responses map[int]cowsliptarget.Response // by attempt number; those that count towards the buffers
}

// forwardResult is the result of one attempt.
type forwardResult struct {
	attempt     int
	target      *cowsliproute.Target
	incarnation string // of the target's run to which the request was sent
	sentAt      time.Time
	outcome     cowsliptarget.Outcome
	response    cowsliptarget.Response
	info        ResponseInfo
	crashed     bool // news that the target has crashed, after its result, or another instance's target if attempt is -1
}

// Forward serves a caller's request according to the configured routes. It returns
// early if ctx ends because the caller has disconnected. The Response of the Reply must be
// released once it is written. Forward is safe for concurrent use.
func (e *Entry) Forward(ctx context.Context, r Request) Reply {
	e.requests.Begin()
	defer e.requests.End()
	f := &forward{Entry: e, request: r, view: e.view.Load(), start: e.clock.Now().Add(-r.elapsed)}
	if f.view == nil || f.view.Revision() == 0 {
		return notRunReply(unconfiguredReason, shortRetryAfter)
	}
	if f.route = f.view.Route(r.Host, r.Path); f.route == nil {
		return Reply{Kind: ReplyNoRoute, Reason: noRouteReason}
	}
	if x, ok := f.identify(); !ok {
		return x
	}
	f.incident = r.ID + " " + newID()
	f.suspect()
	x := f.serve(ctx)
	f.countUsage()
	f.reportCrashes(x)
	f.reportAnswer(x)
	f.observeAdmitted(x)
	f.releaseResponses()
	f.observeReply(x)
	return x
}

func (f *forward) serve(ctx context.Context) Reply {
	o := f.dispatchOptions()
	if f.suspicion.Verdict == cowsliproute.Quarantined {
		return notRunReply(heldReason, f.holdDelay())
	}
	if f.tooLateToServe() {
		return notRunReply(stoppingReason, shortRetryAfter)
	}
	if x, ok := f.relay(ctx); ok {
		return x
	}
	if x, ok := f.admit(); ok {
		return x
	}
	defer f.releaseVersions()
	for _, n := range f.services {
		p, ok := f.dispatchPart(n)
		if !ok {
			return notRunReply(unknownServiceReason(n), shortRetryAfter)
		}
		o.Parts = append(o.Parts, p)
	}
	if x, ok := f.refuseHopeless(o); ok {
		return x
	}
	if x, ok := f.planProbes(&o); ok {
		return x
	}
	if f.suspicion.Trial && !f.beginTrial(ctx) {
		return notRunReply("the request has crashed targets and is tried elsewhere", trialRetryAfter)
	}
	f.options = o
	f.dispatch = cowslipquery.NewDispatch(o)
	f.results, f.done = make(chan forwardResult, len(o.Parts)), make(chan struct{})
	defer f.awaitWarnings()()
	f.runDispatch(ctx)
	switch {
	case ctx.Err() != nil:
		return Reply{Kind: ReplyGone, Reason: "the caller has left"}
	case f.gathers():
		return f.mergedReply()
	}
	return f.singleReply()
}

// gathers reports whether the request is one to a gather route, whose answers are merged
// from the parts of several services.
func (f *forward) gathers() bool { return len(f.route.Config().Gather()) > 0 }

// dispatchOptions returns the options of the request's Dispatch except Parts. It
// also sets the services to ask and the times and limits of the answer.
func (f *forward) dispatchOptions() cowslipquery.DispatchOptions {
	c := f.route.Config()
	d := f.timeout()
	f.closeAt = f.start.Add(d - f.closeMargin())
	g := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	o := cowslipquery.DispatchOptions{
		View: f.view, CloseAt: f.closeAt, HedgeAfter: f.route.HedgeAfter(), MaxAttempts: c.Attempts(), AtMostOnce: c.Once(), PreferOwnDomain: true, Rand: g,
		CapacityDeadline: f.start.Add(c.LatencyTarget() / capacityWaitDivisor),
	}
	if !f.gathers() {
		f.services = []string{f.route.PickService(g.Float64())}
		if f.suspicion.Verdict == cowsliproute.Suspect {
			o.MaxAttempts, o.HedgeAfter = 1, 0
		}
		return o
	}
	o.HoldLost = true
	f.services = c.Gather()
	f.partialAt = f.start.Add(c.LatencyTarget() - f.replyMargin())
	if f.suspicion.Trial {
		// A part that is merely late must not count as lost.
		f.partialAt = f.closeAt
	}
	o.KeepLosers, o.RetryShed = true, true
	o.MaxHedges = max(len(f.services)/hedgeDivisor, minHedgeLimit)
	f.minParts = max(int(math.Ceil(c.MinCoverage()*float64(len(f.services))-coverageTolerance)), 1)
	o.MinParts = f.minParts
	o.PartialAt = f.partialAt
	// A part may wait for a target with capacity until the answer may close without
	// it.
	o.CapacityDeadline = o.PartialAt
	return o
}

// timeout returns how long the request may take: the route's timeout, or the
// caller's deadline if that is shorter.
func (f *forward) timeout() time.Duration {
	d := f.route.Config().Timeout()
	if f.request.Deadline > 0 {
		d = min(d, f.request.Deadline)
	}
	return d
}

// closeMargin returns how long before its timeout the request is given up.
func (f *forward) closeMargin() time.Duration {
	return min(maxCloseMargin, f.timeout()/closeMarginDivisor)
}

// replyMargin returns how long before the latency target an answer with parts missing
// closes: the round trip to the caller, the processing time and this instance's lag.
func (f *forward) replyMargin() time.Duration {
	l := f.route.Config().LatencyTarget()
	if f.request.relayed {
		return f.request.replyMargin + f.lag.average(l/maxLagDivisor)
	}
	rtt := f.request.RoundTrip
	if rtt <= 0 {
		rtt = defaultRoundTrip
	}
	// Opening the connection has cost the caller one more round trip.
	if f.request.FirstOnConn {
		rtt *= 2
	}
	return rtt + max(minProcessingTime, l/processingTimeDivisor) + f.lag.average(l/maxLagDivisor)
}

// dispatchPart returns the part of the answer that the named service gives. It
// reports false if the configuration has no such service.
func (f *forward) dispatchPart(name string) (cowslipquery.DispatchPart, bool) {
	s := f.view.Service(name)
	if s == nil {
		return cowslipquery.DispatchPart{}, false
	}
	p := cowslipquery.DispatchPart{Service: s, Replicas: forwardReplicas(s), Once: slices.Contains(f.suspicion.Services, name)}
	var release func()
	p.Versions, release = s.ChooseVersions(f.route.Config().Name(), rand.Float64())
	f.releases = append(f.releases, release)
	return p, true
}

// forwardReplicas returns the replicas of a service that forwarded requests may go to.
func forwardReplicas(s *cowsliproute.Service) []*cowsliproute.Target {
	if l := s.Snapshots(); len(l) > 0 && len(l[0].Shards) > 0 {
		return l[0].Shards[0].Replicas
	}
	return nil
}

// releaseVersions releases the versions chosen for the parts, so that further
// canary requests may be sent.
func (f *forward) releaseVersions() {
	for _, r := range f.releases {
		r()
	}
}

// runDispatch runs the Dispatch until the answer is closed. If the caller disconnects first,
// or a stop of the instance ends, it cancels the attempts in flight and returns.
func (f *forward) runDispatch(ctx context.Context) {
	defer close(f.done)
	f.execute(f.dispatch.Start(f.clock.Now()))
	for !f.dispatch.Done() {
		n := f.clock.Now()
		t := f.clock.NewTimer(f.dispatch.NextTick(n).Sub(n))
		select {
		case x := <-f.results:
			f.execute(f.handleResult(x))
		case <-t.C():
			f.execute(f.dispatch.Tick(f.clock.Now()))
		case <-ctx.Done():
			t.Stop()
			f.cancelAttempts()
			return
		case <-f.answering.Done():
			t.Stop()
			f.cancelAttempts()
			return
		}
		t.Stop()
	}
}

func (f *forward) cancelAttempts() {
	for _, c := range f.cancels {
		c()
	}
}

func (f *forward) handleResult(x forwardResult) []cowslipquery.DispatchAction {
	if x.crashed {
		return f.handleCrash(x.attempt)
	}
	f.attempts[x.attempt] = x
	if x.outcome == cowsliptarget.OK {
		f.guard.answered.Store(true)
	}
	f.checkLoss(x)
	return f.dispatch.AttemptEnded(f.clock.Now(), x.attempt, x.outcome, false)
}

func (f *forward) execute(l []cowslipquery.DispatchAction) {
	for _, o := range l {
		if o.Target == nil {
			f.cancels[o.Attempt]()
			continue
		}
		t, cancel := context.WithTimeout(f.ctx, o.Timeout)
		f.cancels = append(f.cancels, cancel)
		x := forwardResult{attempt: o.Attempt, target: o.Target, incarnation: o.Target.Incarnation(), sentAt: f.clock.Now(), outcome: cowsliptarget.Cancelled}
		f.attempts = append(f.attempts, x)
		f.metrics.subRequestsSent.Add(1)
		if err := f.pool.Submit(func() { f.attempt(t, cancel, x) }); err != nil {
			cancel()
			o.Target.Release()
			f.metrics.poolFull.Add(1)
			x.outcome = cowsliptarget.NotSent
			go f.sendResult(x)
		}
	}
}

// sendResult passes the result of an attempt to runDispatch, or drops it if
// runDispatch has returned.
func (f *forward) sendResult(x forwardResult) {
	select {
	case f.results <- x:
	case <-f.done:
	}
}

func (f *forward) attempt(ctx context.Context, cancel context.CancelFunc, x forwardResult) {
	defer cancel()
	t := x.target
	start := f.clock.Now()
	header := func() http.Header {
		h := maps.Clone(f.request.Header)
		f.opts.Wire.Prepare(h, t.Info().ID, f.workspaceName(), f.closeAt.Sub(f.clock.Now()))
		return h
	}
	x.response, x.outcome = f.forwarder.Do(ctx, cowsliptarget.ForwardRequest{
		Addr: t.Info().Addr, Method: f.request.Method, URI: f.request.URI, Host: f.request.Host, ID: f.request.ID, Header: header, Body: f.request.Body, MaxIdleConns: t.MaxIdleConns(),
	})
	if x.outcome == cowsliptarget.OK {
		x.info = f.opts.Wire.ParseResponse(x.response)
		x.outcome = x.info.Outcome
	}
	f.holdResponse(x)
	f.observeAttempt(ctx, t, x, f.clock.Since(start))
	f.sendResult(x)
}
