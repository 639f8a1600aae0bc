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

// crashProbeTimeout bounds the question whether a target whose connection
// ended without an answer has started anew.
const crashProbeTimeout = 100 * time.Millisecond

// overloadDivisor is the part of a query's shards, 1/4, from which late answers
// mean overload.
const overloadDivisor = 4

// cancelGrace is the time that a cancellation takes to reach a target.
const cancelGrace = 100 * time.Millisecond

// maxQueryRuns is how often a query is run while the view is found stale.
const maxQueryRuns = 3

func newID() string { return uuid.NewString() }

// fingerprint tells a request that is sent again from others.
func fingerprint(service, route, text string) uint64 {
	return xxhash.Sum64String(service + "\x00" + route + "\x00" + text)
}

// callerRequest is one request of a caller, with what was decided for it.
type callerRequest struct {
	id       string
	view     *cowsliproute.View
	route    string
	payload  string
	start    time.Time
	deadline time.Duration
	priority int
}

// ServiceAnswer is the part of an answer that one service gave.
type ServiceAnswer struct {
	Service string `json:"service"`
	cowslipquery.Result
}

// search answers a query over the services that it crosses.
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
			e.metrics.refused.Add(1)
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

// leafServices lists the services with targets that a query of a service crosses:
// itself, or, for a composite one, all that it depends on.
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

// searchResult is the end of an attempt.
type searchResult struct {
	attempt int
	reply   cowslipquery.Reply
}

// queryRun is one query under way: the state machine, and the attempts that it
// started.
type queryRun struct {
	*Entry
	request callerRequest
	service *cowsliproute.Service
	query   *cowslipquery.Query
	results chan searchResult
	cancels map[int]context.CancelFunc

	mu       sync.Mutex
	crashes  []cowslipcontrol.Crash // not judged yet
	resolved bool
	answered bool // a target answered the request
}

// searchService runs a query over one service, anew with a newer view if the
// targets turn out to hold other index versions than the view knows.
func (e *Entry) searchService(ctx context.Context, c callerRequest, s *cowsliproute.Service, single bool) cowslipquery.Result {
	g := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	versions, release := s.ChooseVersions(c.route, g.Float64())
	defer release()
	sent := 0
	for n := range maxQueryRuns {
		q := cowslipquery.New(cowslipquery.Options{
			ID: c.id + "." + strconv.Itoa(n), View: c.view, Service: s, Route: c.route, QueryText: c.payload, Start: c.start, Deadline: c.deadline,
			Versions: versions, ProbeFirst: single, NoHedge: e.o.Baseline.NoHedge, AcceptStale: n == maxQueryRuns-1, Rand: g,
		})
		x := &queryRun{Entry: e, request: c, service: s, query: q, results: make(chan searchResult, 16), cancels: map[int]context.CancelFunc{}}
		r := x.runQuery(ctx)
		x.resolveCrashes(r.Answered, single)
		r.Sent += sent
		if !r.Stale {
			e.metrics.needed.Add(int64(r.Needed))
			e.metrics.sent.Add(int64(r.Sent))
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

// adjustLimiter tells the limiter how a query went. Answers that are late from a large
// part of the shards mean overload as much as refusals do, of the targets or of
// this process; from a small part they mean trouble with those shards.
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
		t := time.NewTimer(r.query.NextTick(n).Sub(n))
		select {
		case x := <-r.results:
			r.execute(ctx, r.query.AttemptEnded(r.clock.Now(), x.attempt, x.reply))
		case <-t.C:
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
			go r.sendResult(searchResult{attempt: a.Attempt, reply: cowslipquery.Reply{Outcome: cowsliptarget.NotSent}})
		}
	}
}

// sendResult hands over the end of an attempt, unless the query is over.
func (r *queryRun) sendResult(x searchResult) {
	select {
	case r.results <- x:
	case <-r.life.Done():
	case <-time.After(r.request.deadline):
	}
}

func (r *queryRun) attempt(ctx context.Context, cancel context.CancelFunc, a cowslipquery.Action) {
	defer cancel()
	n := r.clock.Now()
	a.Search.Incarnation = a.Target.Incarnation()
	p, report, o := r.client.Search(ctx, a.Target.Info().Addr, a.Search)
	s := cowslipcontrol.Sample{Target: a.Target, Route: r.request.route, Outcome: o, Report: report, Latency: r.clock.Since(n), At: r.clock.Now()}
	if k := r.finishAttempt(ctx, &s, r.requestFingerprint(), r.request.id); k != nil {
		r.recordCrash(*k)
	}
	r.sendResult(searchResult{attempt: a.Attempt, reply: cowslipquery.Reply{Outcome: o, Reply: p, Crashed: s.Crashed}})
}

func (r *queryRun) requestFingerprint() uint64 {
	return fingerprint(r.service.Name(), r.request.route, r.request.payload)
}

// recordCrash keeps a crash until the query ends; one that is found out later is
// judged at once.
func (r *queryRun) recordCrash(k cowslipcontrol.Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashes = append(r.crashes, k)
	if r.resolved {
		r.reportCrashes()
	}
}

// resolveCrashes reports the targets that went down, unless another target answered the
// same request: a request that crashes targets crashes each that runs it. An
// answer clears a suspect.
func (r *queryRun) resolveCrashes(proven, suspect bool) {
	if proven && suspect {
		r.do(func(now time.Time, c *cowslipcontrol.Control) { c.ClearSuspect(now, r.requestFingerprint()) })
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resolved, r.answered = true, proven
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

// finishAttempt gives back the room of an ended request and passes on what it tells of
// its target: a signal of leaving counts at once, and a connection that ended
// without an answer may mean that the request took the target down.
func (e *Entry) finishAttempt(ctx context.Context, s *cowslipcontrol.Sample, digest uint64, incident string) *cowslipcontrol.Crash {
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
		k = &cowslipcontrol.Crash{Fingerprint: digest, Incident: incident, Target: t, Incarnation: t.Incarnation()}
		t.Suspend()
		if s.Crashed = e.targetCrashed(t, k.Incarnation); !s.Crashed {
			k = nil
		}
	}
	e.releaseSlot(s)
	if s.Crashed {
		e.metrics.crashes.Add(1)
	}
	e.sample(*s)
	return k
}

// releaseSlot gives room back; that of a request cancelled at a target that bears
// little, only once the cancellation must have reached it.
func (e *Entry) releaseSlot(s *cowslipcontrol.Sample) {
	t := s.Target
	if s.Outcome == cowsliptarget.Cancelled && t.Limit() < t.Info().Slots {
		time.AfterFunc(cancelGrace, t.Release)
		return
	}
	t.Release()
}

// targetCrashed tells whether a target whose connection ended is gone or has started
// anew.
func (e *Entry) targetCrashed(t *cowsliproute.Target, before string) bool {
	ctx, cancel := context.WithTimeout(e.life, crashProbeTimeout)
	defer cancel()
	r, o := e.client.Status(ctx, t.Info().Addr)
	return o != cowsliptarget.OK || before != "" && r.Incarnation != before
}
