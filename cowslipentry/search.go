package cowslipentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// crashProbeTimeout limits the probe that checks whether a target has crashed or
// restarted, after its connection ended without an answer.
const crashProbeTimeout = 100 * time.Millisecond

// overloadDivisor sets the share of late shards above which a query is a sign of
// overload: 1/4.
const overloadDivisor = 4

// cancelGrace is the time allowed for a cancellation to reach a target.
const cancelGrace = 100 * time.Millisecond

// maxQueryRuns limits how often a query runs if its view turns out to be stale. The
// last run accepts a stale view.
const maxQueryRuns = 3

func newID() string { return uuid.NewString() }

// fingerprint identifies a request by its content. Repeated requests have the same
// fingerprint.
func fingerprint(service, route, payload string) uint64 {
	return xxhash.Sum64String(service + "\x00" + route + "\x00" + payload)
}

// callerRequest is one request of a caller with the view, deadline and priority
// chosen for it.
type callerRequest struct {
	id       string
	view     *cowsliproute.View
	route    string
	payload  string // query text or record body
	start    time.Time
	deadline time.Duration // counted from start
	priority int           // 0 to 9; higher values are admitted longer under load
}

// ServiceAnswer is the answer of one service to a query.
type ServiceAnswer struct {
	Service string `json:"service"`
	cowslipquery.Result
}

// search answers a query to a service. It queries each of the service's leaf
// services.
func (e *Entry) search(ctx context.Context, c callerRequest, service string) ([]ServiceAnswer, *Refusal) {
	l, r := e.leafServices(c, service)
	if r != nil {
		return nil, r
	}
	verdict := cowsliproute.Harmless
	for _, s := range l {
		verdict = max(verdict, c.view.CrashVerdict(fingerprint(s.Name(), c.route, c.payload)))
	}
	if verdict == cowsliproute.Quarantined {
		return nil, refuse(CodeQuarantined, "the request has crashed targets and is held")
	}
	for _, s := range l {
		if len(s.Snapshots()) == 0 {
			return nil, refuse(CodeUnavailable, "service "+s.Name()+" has no target that may be asked")
		}
		if !s.Limiter().Admit(c.start, c.priority) {
			e.metrics.refusedForLoad.Add(1)
			return nil, refuse(CodeOverloaded, "service "+s.Name()+" is at its limit")
		}
	}
	a := make([]ServiceAnswer, len(l))
	var w sync.WaitGroup
	for i, s := range l {
		w.Go(func() {
			a[i] = ServiceAnswer{Service: s.Name(), Result: e.searchService(ctx, c, s, verdict == cowsliproute.Suspect)}
		})
	}
	w.Wait()
	return a, nil
}

// leafServices returns the services with targets that answer queries to the named
// service: the service itself or, if it is composite, all non-composite services
// that it depends on directly or indirectly.
func (e *Entry) leafServices(c callerRequest, name string) ([]*cowsliproute.Service, *Refusal) {
	s := c.view.Service(name)
	if s == nil {
		return nil, refuse(CodeUnknownService, "no service "+name+" in the configuration")
	}
	if s.Config().Kind() != cowslipconfig.Composite {
		return []*cowsliproute.Service{s}, nil
	}
	var l []*cowsliproute.Service
	seen := map[string]bool{}
	var visit func(string)
	visit = func(n string) {
		x := c.view.Service(n)
		if x == nil || seen[n] {
			return
		}
		seen[n] = true
		if x.Config().Kind() != cowslipconfig.Composite {
			l = append(l, x)
			return
		}
		for _, d := range x.Config().DependsOn() {
			visit(d)
		}
	}
	visit(name)
	return l, nil
}

// searchResult is the result of one attempt.
type searchResult struct {
	attempt int
	result  cowslipquery.AttemptResult
}

// queryRun executes one Query: it sends the sub-requests that the Query asks for and
// passes their results to it.
type queryRun struct {
	*Entry
	request callerRequest
	service *cowsliproute.Service
	query   *cowslipquery.Query
	results chan searchResult
	cancels map[int]context.CancelFunc

	mu       sync.Mutex
	crashes  []cowslipcontrol.Crash // neither reported nor dismissed yet
	resolved bool                   // the query has ended, so that answered is final
	answered bool                   // a target answered the request
}

// searchService queries one service. If the targets no longer hold the index
// versions of the view, it runs the query again with a newer view. With probeFirst,
// a single target is asked before the others.
func (e *Entry) searchService(ctx context.Context, c callerRequest, s *cowsliproute.Service, probeFirst bool) cowslipquery.Result {
	g := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	versions, release := s.ChooseVersions(c.route, g.Float64())
	defer release()
	sent := 0
	for n := range maxQueryRuns {
		q := cowslipquery.New(cowslipquery.Options{
			ID: c.id + "." + strconv.Itoa(n), View: c.view, Service: s, Route: c.route, QueryText: c.payload, Start: c.start, Deadline: c.deadline,
			Versions: versions, ProbeFirst: probeFirst, NoHedge: e.opts.Baseline.NoHedge, AcceptStale: n == maxQueryRuns-1, Rand: g,
		})
		x := &queryRun{Entry: e, request: c, service: s, query: q, results: make(chan searchResult, 16), cancels: map[int]context.CancelFunc{}}
		r := x.runQuery(ctx)
		x.resolveCrashes(r.Answered, probeFirst)
		r.Sent += sent
		if !r.Stale {
			e.metrics.subRequestsNeeded.Add(int64(r.Needed))
			e.metrics.subRequestsSent.Add(int64(r.Sent))
			e.adjustLimiter(s.Limiter(), r)
			return r
		}
		sent = r.Sent
		e.metrics.reruns.Add(1)
		e.sleep(ctx, 2*tickInterval)
		c.view = e.view.Load()
		if o := c.view.Service(s.Name()); o != nil {
			s = o
		}
	}
	return cowslipquery.Result{}
}

// adjustLimiter updates the limiter after a query. Late answers from a large share
// of the shards mean that the targets or this process are overloaded, just as shed
// requests do. Late answers from a small share point to problems of those shards
// only.
func (e *Entry) adjustLimiter(l *cowsliproute.Limiter, r cowslipquery.Result) {
	switch {
	case r.Late*overloadDivisor > r.Needed:
		l.RecordOverload(e.clock.Now())
	case r.Shed == 0:
		l.RecordAnswer(e.clock.Now())
	}
}

func (r *queryRun) runQuery(ctx context.Context) cowslipquery.Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.execute(ctx, r.query.Start(r.clock.Now()))
	for !r.query.Done() {
		n := r.clock.Now()
		t := r.clock.NewTimer(r.query.NextTick(n).Sub(n))
		select {
		case x := <-r.results:
			r.execute(ctx, r.query.AttemptEnded(r.clock.Now(), x.attempt, x.result))
		case <-t.C():
			r.execute(ctx, r.query.Tick(r.clock.Now()))
		case <-ctx.Done():
			t.Stop()
			return r.query.Result()
		}
		t.Stop()
	}
	return r.query.Result()
}

func (r *queryRun) execute(ctx context.Context, l []cowslipquery.Action) {
	for _, a := range l {
		if a.Target == nil {
			if c := r.cancels[a.Attempt]; c != nil {
				c()
			}
			continue
		}
		t, cancel := context.WithTimeout(ctx, a.Timeout)
		r.cancels[a.Attempt] = cancel
		if err := r.pool.Submit(func() { r.attempt(t, cancel, a) }); err != nil {
			cancel()
			a.Target.Release()
			r.metrics.poolFull.Add(1)
			go r.sendResult(searchResult{attempt: a.Attempt, result: cowslipquery.AttemptResult{Outcome: cowsliptarget.NotSent}})
		}
	}
}

// sendResult passes the result of an attempt to runQuery. It gives up when the
// instance stops or after a wait as long as callerRequest.deadline, since runQuery may
// have returned.
func (r *queryRun) sendResult(x searchResult) {
	select {
	case r.results <- x:
	case <-r.ctx.Done():
	case <-r.clock.After(r.request.deadline):
	}
}

func (r *queryRun) attempt(ctx context.Context, cancel context.CancelFunc, a cowslipquery.Action) {
	defer cancel()
	n := r.clock.Now()
	a.Search.Incarnation = a.Target.Incarnation()
	p, report, o := r.client.Search(ctx, a.Target.Info().Addr, a.Search)
	s := cowslipcontrol.Sample{Target: a.Target, Route: r.request.route, Outcome: o, Report: report, Latency: r.clock.Since(n), At: r.clock.Now()}
	if k := r.finishAttempt(ctx, &s, a.Search.Incarnation, r.requestFingerprint(), r.request.id); k != nil {
		r.recordCrash(*k)
	}
	r.sendResult(searchResult{attempt: a.Attempt, result: cowslipquery.AttemptResult{Outcome: o, Reply: p, Crashed: s.Crashed}})
}

func (r *queryRun) requestFingerprint() uint64 {
	return fingerprint(r.service.Name(), r.request.route, r.request.payload)
}

// recordCrash keeps a crash until the query ends. A crash that is detected later is
// reported or dismissed immediately.
func (r *queryRun) recordCrash(k cowslipcontrol.Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, k)
	if r.resolved {
		r.reportCrashes()
	}
}

// resolveCrashes reports the crashes during the query unless a target answered it. A
// request that causes crashes crashes every target that runs it, so an answer proves
// that the request is not the cause. An answer also clears a suspect request.
func (r *queryRun) resolveCrashes(answered, suspect bool) {
	if answered && suspect {
		r.do(func(now time.Time, c *cowslipcontrol.Control) {
			c.ClearSuspect(now, r.requestFingerprint(), r.service.Name())
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resolved, r.answered = true, answered
	r.reportCrashes()
}

func (r *queryRun) reportCrashes() {
	l := r.crashes
	r.crashes = nil
	if r.answered || len(l) == 0 {
		return
	}
	r.do(func(now time.Time, c *cowslipcontrol.Control) {
		for _, x := range l {
			c.Crashed(now, x)
		}
	})
}

// finishAttempt releases the slot of an ended request and updates the target's state
// with its result. If the target reports that it is leaving, that takes effect
// immediately. If the connection ended without an answer, finishAttempt probes the
// target and returns the crash if there was one, otherwise nil. Incarnation is that of
// the target's run to which the request was sent. Incident is the ID of the caller's
// request, which all its sub-requests share.
func (e *Entry) finishAttempt(ctx context.Context, s *cowslipcontrol.Sample, incarnation string, fp uint64, incident string) *cowslipcontrol.Crash {
	t := s.Target
	if s.Report.Leaving {
		t.SetLeaving(true)
	}
	s.GivenUp = s.Outcome == cowsliptarget.NotSent && ctx.Err() != nil
	s.TimedOut = s.Outcome == cowsliptarget.Cancelled && ctx.Err() == context.DeadlineExceeded
	switch s.Outcome {
	case cowsliptarget.OK:
		t.ObserveLatency(s.Latency)
	case cowsliptarget.Cancelled:
		t.ObserveMinLatency(s.Latency)
	}
	var k *cowslipcontrol.Crash
	if s.Outcome == cowsliptarget.Lost {
		k = &cowslipcontrol.Crash{Fingerprint: fp, Incident: incident, Target: t, Incarnation: incarnation}
		t.Suspend()
		if s.Crashed = e.targetCrashed(t, k.Incarnation); !s.Crashed {
			k = nil
		}
	}
	e.releaseSlot(s)
	if s.Crashed {
		e.metrics.crashes.Add(1)
	}
	e.enqueueSample(*s)
	return k
}

// releaseSlot releases the slot of an ended request. If this instance's limit for the
// target is below the target's slots, as for a cold target, the slot of a cancelled
// request stays taken until the cancellation has had time to reach the target.
func (e *Entry) releaseSlot(s *cowslipcontrol.Sample) {
	t := s.Target
	if s.Outcome == cowsliptarget.Cancelled && t.Limit() < t.Info().Slots {
		time.AfterFunc(cancelGrace, t.Release)
		return
	}
	t.Release()
}

// targetCrashed reports whether a target whose connection ended does not respond any
// more or has restarted since the given incarnation.
func (e *Entry) targetCrashed(t *cowsliproute.Target, before string) bool {
	ctx, cancel := context.WithTimeout(e.ctx, crashProbeTimeout)
	defer cancel()
	r, o := e.client.Status(ctx, t.Info().Addr)
	return o != cowsliptarget.OK || before != "" && r.Incarnation != before
}
