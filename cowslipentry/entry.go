package cowslipentry

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipevent"
	"cowslipflow/cowslipmirror"
	"cowslipflow/cowslippeer"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliprecord"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/juju/errors"
	"github.com/panjf2000/ants/v2"
	"golang.org/x/time/rate"
	"k8s.io/utils/clock"
)

// Limits and intervals of an instance.
const (
	tickInterval      = 50 * time.Millisecond
	sampleQueueSize   = 4096
	poolSize          = 8192
	defaultDrainWait  = 2 * time.Second
	defaultClaimRate  = 40 // per second, for requests with an idempotency key, each of which writes to the store twice
	claimBurst        = 20
	stopTimeout       = 2 * time.Second
	connSweepInterval = time.Second
	reportLogInterval = time.Minute            // between log lines about malformed load reports
	bufferDivisor     = 4                      // messages may hold 1/4 of the memory; copies and unused allocations take as much again
	graceMargin       = 700 * time.Millisecond // time to deregister before the grace period ends
	lastAnswerMargin  = 200 * time.Millisecond // time to write the last answers before connections are cut
	// stopLatencyTargets is how many latency targets of its route a request needs to be
	// accepted by an instance that is stopping.
	stopLatencyTargets = 2
)

// Options configures an Entry. ID, FailureDomain, the listeners and Store are
// required.
type Options struct {
	ID             string
	FailureDomain  string
	Capacity       float64      // processor cores of the instance, 0 if unknown
	Memory         int64        // memory of the instance in bytes, 0 if unknown
	MaxFDs         int          // descriptors that the process may open; 0 means the kernel's limit
	Callers        net.Listener // for HTTP from callers
	Operators      net.Listener // for HTTP from operators
	Peers          net.Listener // for drpc from other entry instances
	Advertise      string       // address at which peers reach Peers; the listener's address if empty
	Store          *cowslipplatform.Store
	Seeds          []string      // addresses of peers to contact before the platform has listed any
	DrainWait      time.Duration // time for the load balancer to notice a shutdown; derived from Bounds if 0
	ClaimRate      float64       // limit, per second, of requests with an idempotency key; 40 if 0
	Token          string        // bearer token required on operators' calls; none is required if empty
	CallersTLS     *tls.Config
	OperatorsTLS   *tls.Config
	Log            *slog.Logger
	Clock          clock.WithTicker
	Baseline       Baseline
	EventsCapacity int

	// Edge, StoreCodec and Wire adapt the instance to a platform that has its own
	// interfaces: Edge serves the callers, StoreCodec decodes targets and the
	// operators' configuration from the store's keys, and Wire completes the headers
	// of requests, which are otherwise forwarded unchanged, and parses the responses.
	// Either all three are set or none is.
	Edge       func(*Entry) (Edge, error)
	StoreCodec StoreCodec
	Wire       Wire
	Bounds     Bounds
	Usage      *UsageOptions // nil if usage is not reported; needs Edge

	// ScarceTargets says that callers compete for targets with too little capacity for all of
	// them. What targets take is then learned whether or not they state a slowdown.
	ScarceTargets bool

	// Dial opens connections to targets and to other entry instances. If nil, the
	// default dialer of package net is used.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Baseline disables mechanisms, for comparison in measurements.
type Baseline struct {
	NoHedge     bool
	RoundRobin  bool // choose replicas regardless of load
	NoRamp      bool // treat cold targets as warm
	NoPool      bool // ignore evidence from peers
	NoAdmission bool // refuse no query for load
}

// Entry is one entry instance. Create it with New, then call Run once.
type Entry struct {
	incarnation string // identifies this process

	opts            Options
	log             *slog.Logger
	clock           clock.WithTicker
	events          *cowslipevent.Ring
	control         *cowslipcontrol.Control // owned by the control loop
	commands        chan func(now time.Time, c *cowslipcontrol.Control)
	samples         chan cowslipcontrol.Sample
	view            atomic.Pointer[cowsliproute.View]
	client          *cowsliptarget.Client
	pool            *ants.Pool
	recorder        *cowsliprecord.Recorder
	claimLimiter    *rate.Limiter
	crashes         *crashQueue // to be written to the store
	trials          sync.Map    // contents of requests that were held and are tried again
	answers         answers
	wide            wideGuard
	doubtfulCrashes *crashQueue   // likewise, of targets that were merely silent when their run ended
	loopDone        chan struct{} // closed when controlLoop returns
	exchangeNow     chan struct{}
	registered      chan struct{} // signals that this instance is on the list of entry instances again
	ready           atomic.Bool
	draining        atomic.Bool
	requests        running  // requests of callers in flight
	background      running  // tasks that may outlive the request that started them
	activeTasks     sync.Map // running tasks that must not run twice at once; the key is the target for a probe, otherwise the name
	metrics         *Metrics
	learner         learner
	reportLogs      rate.Sometimes // limits the log lines about malformed load reports
	ctx             context.Context
	cancel          context.CancelFunc
	answering       context.Context // ends when a stopping instance must answer all requests
	endAnswering    context.CancelFunc
	answerBy        atomic.Pointer[time.Time]             // when that is, nil before the stop
	lease           atomic.Pointer[cowslipplatform.Lease] // of the entry on the list of instances, nil if there is none

	mirror        *cowslipmirror.Mirror
	firstMirrored atomic.Pointer[time.Time] // when the mirror first had content
	applyMu       sync.Mutex                // held while an update is applied to the mirror and the control state
	retainer      cowslipmirror.Retainer    // of values that others write; used while applyMu is held
	buffers       *cowsliptarget.Buffers
	forwarder     *cowsliptarget.Forwarder
	relayer       *cowslippeer.Relayer
	activeRelays  atomic.Int64 // requests in flight that are served for other instances
	storeLost     atomic.Bool
	pauses        pauses
	storeProblems storeProblems
	lag           lag
	usage         *usage // nil if usage is not reported
	admissions    admissions
	settings      atomic.Pointer[settings] // nil until UpdateSettings is called
	isolatedSince atomic.Int64             // Unix time in nanoseconds, 0 while not isolated
}

// New creates an entry instance.
func New(o Options) (*Entry, error) {
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Advertise == "" {
		o.Advertise = o.Peers.Addr().String()
	}
	if o.DrainWait == 0 {
		o.DrainWait = o.Bounds.drainWait()
	}
	if o.ClaimRate == 0 {
		o.ClaimRate = defaultClaimRate
	}
	p, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Annotate(err, "cowslipentry: pool")
	}
	e := &Entry{
		incarnation: newID(),
		opts:        o, log: o.Log.With("instance", o.ID), clock: o.Clock, pool: p,
		events:          cowslipevent.New(cowslipevent.Options{Instance: o.ID, Clock: o.Clock, Capacity: o.EventsCapacity}),
		commands:        make(chan func(time.Time, *cowslipcontrol.Control), 64),
		samples:         make(chan cowslipcontrol.Sample, sampleQueueSize),
		loopDone:        make(chan struct{}),
		exchangeNow:     make(chan struct{}, 1),
		registered:      make(chan struct{}, 1),
		claimLimiter:    rate.NewLimiter(rate.Limit(o.ClaimRate), claimBurst),
		crashes:         newCrashQueue(crashShareRate, crashShareBurst),
		doubtfulCrashes: newCrashQueue(doubtfulShareRate, 1),
		metrics:         newMetrics(o.ID),
		reportLogs:      rate.Sometimes{First: 1, Interval: reportLogInterval},
		mirror:          &cowslipmirror.Mirror{},
	}
	e.pauses.elapsed = e.clock.Now
	if o.Clock == (clock.RealClock{}) {
		e.pauses.elapsed = suspensionClock(e.clock.Now())
	}
	e.buffers = cowsliptarget.NewBuffers(o.Memory / bufferDivisor)
	e.forwarder = cowsliptarget.NewForwarder(cowsliptarget.ForwarderOptions{IDHeader: o.Wire.IDHeader, Dial: o.Dial, Buffers: e.buffers})
	e.relayer = &cowslippeer.Relayer{Dial: o.Dial}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.answering, e.endAnswering = context.WithCancel(e.ctx)
	e.client = cowsliptarget.NewClient(cowsliptarget.Options{OnDisconnect: e.onDisconnect, Dial: o.Dial, Buffers: e.buffers})
	e.control = cowslipcontrol.New(cowslipcontrol.Options{
		ID: o.ID, FailureDomain: o.FailureDomain, Capacity: o.Capacity, Addr: o.Advertise, Incarnation: e.incarnation,
		NoRamp: o.Baseline.NoRamp, NoPool: o.Baseline.NoPool, NoAdmission: o.Baseline.NoAdmission, RoundRobin: o.Baseline.RoundRobin, Event: e.event,
		ListOnly: o.Edge != nil, Bounds: o.Bounds.controlBounds(), AnsweredSince: e.answers.hasSince,
	}, e.clock.Now())
	e.publishState()
	if o.Usage != nil && o.Edge != nil {
		e.usage = newUsage(e, *o.Usage)
	}
	e.recorder = &cowsliprecord.Recorder{Entry: o.ID, Store: o.Store, Clock: e.clock, Background: e.runInBackground}
	return e, nil
}

// Run serves until ctx ends, then shuts down gracefully: it turns readiness off,
// accepts requests until the load balancer has noticed, finishes requests in
// flight, informs its peers and releases the lease that lists it on the platform.
func (e *Entry) Run(ctx context.Context) error {
	defer e.pool.Release()
	defer e.client.Close()
	defer e.relayer.Close()
	defer e.cancel()
	callers, err := e.callerEdge()
	if err != nil {
		return err
	}
	operators := e.operatorServer()
	errs := make(chan error, 3)
	var w sync.WaitGroup
	start := func(f func() error) {
		w.Go(func() {
			if err := f(); err != nil && e.ctx.Err() == nil {
				errs <- err
			}
		})
	}
	s := &cowslippeer.Server{OnExchange: e.onExchange, OnEvents: e.onEvents, OnFollow: e.onFollow, OnRelay: e.onRelay, OnLearn: e.onLearn, OnWarn: e.onWarn}
	if e.usage != nil {
		s.OnUsage = e.usage.onReport
		w.Go(e.usage.run)
	}
	peers := e.LimitConns(PortPeers, e.opts.Peers, false)
	start(func() error { return s.Serve(e.ctx, peers) })
	start(callers.Serve)
	start(operators.Run)
	w.Go(e.controlLoop)
	for _, f := range e.platformLoops() {
		w.Go(f)
	}
	e.event("instanceStarted", e.opts.ID, "failure domain "+e.opts.FailureDomain)
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	e.drain(callers)
	stopServer(operators)
	e.cancel()
	w.Wait()
	e.background.Wait()
	return errors.Annotate(err, "cowslipentry: serve")
}

// callerEdge returns the platform's edge or, if there is none, the built-in HTTP
// interface for callers.
func (e *Entry) callerEdge() (Edge, error) {
	if e.opts.Edge != nil {
		return e.opts.Edge(e)
	}
	h := e.callerServer()
	return Edge{Serve: h.Run, Drain: func() {}, Stop: func(context.Context) { stopServer(h) }}, nil
}

// platformLoops returns the loops that keep targets, configuration, peers and moves
// up to date. With an Edge, they mirror the store; without one, they watch and list
// its keys.
func (e *Entry) platformLoops() []func() {
	if e.opts.Edge != nil {
		return []func(){e.storeLoop, e.followOwnReader, e.followOtherSources, e.peerProbeLoop, e.moveLoop, func() { e.crashLoop(e.crashes) }, func() { e.crashLoop(e.doubtfulCrashes) }, e.leaseLoop, e.sweepLoop, e.learnLoop}
	}
	return []func(){e.watchLoop, e.listLoop, e.leaseLoop, func() { e.exchangeLoop(e.peerAddrs) }, e.probeLoop}
}

// Ready reports whether callers should send requests to this instance: it has a
// configuration, is not isolated and is not shutting down. It is safe for
// concurrent use.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// Buffers returns the buffers of requests and responses that the instance holds.
func (e *Entry) Buffers() *cowsliptarget.Buffers { return e.buffers }

// ShouldCloseConns reports whether callers should close their connections, so that
// their new ones reach other instances. It is safe for concurrent use.
func (e *Entry) ShouldCloseConns() bool { return e.draining.Load() || e.isolatedSince.Load() != 0 }

// drain finishes the requests in flight, informs the peers and takes the instance
// off the platform's list.
func (e *Entry) drain(callers Edge) {
	e.event("instanceLeaving", e.opts.ID, "readiness is off")
	began := e.clock.Now()
	e.draining.Store(true)
	callers.Drain()
	if e.opts.Edge != nil {
		e.runInBackground(e.leave)
		e.limitAnswers(began)
	}
	e.sleep(e.ctx, e.opts.DrainWait)
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Leave() })
	if e.opts.Edge != nil {
		// Connections that were accepted before are served within the grace period,
		// while no new ones are accepted.
		t, cancel := context.WithTimeout(context.Background(), e.graceLeft(began))
		defer cancel()
		callers.Stop(t)
	}
	finished := e.awaitRequests(began, e.requests.Idle())
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if e.opts.Edge == nil {
		e.exchangeAll(ctx)
		e.leave(ctx)
		callers.Stop(ctx)
	}
	e.event("instanceStopped", e.opts.ID, finished)
}

// limitAnswers makes all requests end before the grace period, which began at began, cuts
// their connections. Those that have no answer by then fail.
func (e *Entry) limitAnswers(began time.Time) {
	left := max(e.graceLeft(began)-lastAnswerMargin, 0)
	by := e.clock.Now().Add(left)
	e.answerBy.Store(&by)
	e.runInBackground(func(ctx context.Context) {
		e.sleep(ctx, left)
		e.endAnswering()
	})
}

// leave removes this instance from the list of entry instances by releasing its
// lease.
func (e *Entry) leave(ctx context.Context) {
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Leave() })
	t, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if l := e.lease.Swap(nil); l != nil {
		if err := e.opts.Store.Revoke(t, *l); err != nil {
			e.log.Warn("lease not revoked", "error", err)
		}
	}
}

// awaitRequests waits until done is closed or the grace period, which began at
// began, is about to end. It returns whether all requests are finished, in words.
func (e *Entry) awaitRequests(began time.Time, done <-chan struct{}) string {
	const finished = "all requests are finished"
	grace := e.currentSettings().bounds.Grace
	if grace == 0 {
		<-done
		return finished
	}
	select {
	case <-done:
		return finished
	case <-e.clock.After(e.graceLeft(began)):
		e.event("requestsLeft", e.opts.ID, "the grace period is over")
		return "some requests are not finished"
	}
}

// graceLeft returns how long requests may still run in a grace period that began at began.
// Without a grace period it is stopTimeout.
func (e *Entry) graceLeft(began time.Time) time.Duration {
	grace := e.currentSettings().bounds.Grace
	if grace == 0 {
		return stopTimeout
	}
	return max(grace-e.clock.Since(began)-graceMargin, 0)
}

func (e *Entry) event(kind, subject, detail string) {
	e.events.Add(kind, subject, detail)
	e.log.Info(kind, "subject", subject, "detail", detail)
}

// sleep waits for d and reports whether ctx was still active at the end.
func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-e.clock.After(d):
		return true
	}
}
