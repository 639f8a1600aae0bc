package cowslipentry

import (
	"context"
	"crypto/tls"
	"expvar"
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

// Constants of the process.
const (
	tickInterval     = 50 * time.Millisecond
	sampleBuffer     = 4096
	poolSize         = 8192
	defaultDrainWait = 2 * time.Second
	defaultClaimRate = 40 // keyed requests a second, two writes each
	claimBurst       = 20
	stopTimeout      = 2 * time.Second
	sweepInterval    = time.Second
	graceMargin      = 700 * time.Millisecond // for taking leave before the grace is over
)

// Options configure an Entry. ID, FailureDomain, the listeners and Store are
// needed.
type Options struct {
	ID             string
	FailureDomain  string
	Capacity       float64      // processor cores that the instance has, 0 if not known
	Callers        net.Listener // HTTP for callers
	Operators      net.Listener // HTTP for operators
	Peers          net.Listener // drpc for other entry instances
	Advertise      string       // where peers reach Peers; its own address if empty
	Store          *cowslipplatform.Store
	Seeds          []string      // peers' addresses to try before the platform names any
	DrainWait      time.Duration // time for the balancer to notice a shutdown, by Bounds if 0
	ClaimRate      float64       // keyed requests a second, 40 if 0
	Token          string        // that operators' calls must bear; none if empty
	CallersTLS     *tls.Config
	OperatorsTLS   *tls.Config
	Log            *slog.Logger
	Clock          clock.WithTicker
	Baseline       Baseline
	EventsCapacity int

	// Edge, Facts and Wire run the instance on a platform with its own
	// interfaces: callers come through the edge, targets and the operators' text
	// are read from the store's keys, and requests are forwarded as they are.
	// All three are set, or none.
	Edge   func(*Entry) (Edge, error)
	Facts  StoreCodec
	Wire   Wire
	Bounds Bounds

	// Dial opens connections to targets and other entry instances; the
	// network's own dialer if nil.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Baseline turns mechanisms off, for measurements.
type Baseline struct {
	NoHedge     bool
	RoundRobin  bool // choose replicas without regard to load
	NoRamp      bool
	NoPool      bool
	NoAdmission bool
}

// Entry is one entry instance. Make it with New, then call Run once.
type Entry struct {
	incarnation string // of this process

	o        Options
	log      *slog.Logger
	clock    clock.WithTicker
	events   *cowslipevent.Ring
	control  *cowslipcontrol.Control // owned by the control loop
	commands chan func(now time.Time, c *cowslipcontrol.Control)
	samples  chan cowslipcontrol.Sample
	view     atomic.Pointer[cowsliproute.View]
	client   *cowsliptarget.Client
	pool     *ants.Pool
	recorder *cowsliprecord.Recorder
	claims   *rate.Limiter
	looped   chan struct{} // closed when the control loop has ended
	push     chan struct{}
	ready    atomic.Bool
	draining atomic.Bool
	requests sync.WaitGroup // requests of callers that run
	later    sync.WaitGroup // tasks that outlive their request
	busy     sync.Map       // tasks of which one at a time may run: probes by target, others by name
	metrics  *Metrics
	life     context.Context
	end      context.CancelFunc
	lease    atomic.Uint64

	mirror    *cowslipmirror.Mirror
	applying  sync.Mutex // held while an update goes into the mirror and the control state
	forwarder *cowsliptarget.Forwarder
	relayer   *cowslippeer.Relayer
	relays    atomic.Int64 // requests that are served for other instances
	storeLost atomic.Bool
	lag       lag
	tuning    atomic.Pointer[tuning] // nil until Retune
	isolated  atomic.Int64           // since when, in nanoseconds since 1970; 0 while it is not
}

// New makes an entry instance.
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
		o:           o, log: o.Log.With("instance", o.ID), clock: o.Clock, pool: p,
		events:   cowslipevent.New(cowslipevent.Options{Instance: o.ID, Clock: o.Clock, Capacity: o.EventsCapacity}),
		commands: make(chan func(time.Time, *cowslipcontrol.Control), 64),
		samples:  make(chan cowslipcontrol.Sample, sampleBuffer),
		looped:   make(chan struct{}),
		push:     make(chan struct{}, 1),
		claims:   rate.NewLimiter(rate.Limit(o.ClaimRate), claimBurst),
		metrics:  newMetrics(o.ID),
		mirror:   &cowslipmirror.Mirror{},
	}
	e.forwarder = cowsliptarget.NewForwarder(cowsliptarget.ForwarderOptions{IDHeader: o.Wire.IDHeader, Dial: o.Dial})
	e.relayer = &cowslippeer.Relayer{Dial: o.Dial}
	e.life, e.end = context.WithCancel(context.Background())
	e.client = cowsliptarget.NewClient(cowsliptarget.Options{OnDisconnect: e.disconnected, Dial: o.Dial})
	e.control = cowslipcontrol.New(cowslipcontrol.Options{
		ID: o.ID, FailureDomain: o.FailureDomain, Capacity: o.Capacity, Addr: o.Advertise, Incarnation: e.incarnation,
		NoRamp: o.Baseline.NoRamp, NoPool: o.Baseline.NoPool, NoAdmission: o.Baseline.NoAdmission, RoundRobin: o.Baseline.RoundRobin, Event: e.event,
		ListOnly: o.Edge != nil, Bounds: o.Bounds.controlBounds(),
	}, e.clock.Now())
	e.metrics.vars.Set("state", expvar.Func(func() any { return e.state() }))
	e.recorder = &cowsliprecord.Recorder{Entry: o.ID, Store: o.Store, Clock: e.clock, Background: e.runLater}
	return e, nil
}

// Run serves until ctx ends, then shuts down gracefully: readiness goes off,
// requests are accepted until the balancer has noticed, what runs is finished,
// peers are told, leases are released.
func (e *Entry) Run(ctx context.Context) error {
	defer e.pool.Release()
	defer e.client.Close()
	defer e.relayer.Close()
	defer e.end()
	callers, err := e.callerEdge()
	if err != nil {
		return err
	}
	operators := e.operatorServer()
	errs := make(chan error, 3)
	var w sync.WaitGroup
	start := func(f func() error) {
		w.Go(func() {
			if err := f(); err != nil && e.life.Err() == nil {
				errs <- err
			}
		})
	}
	s := &cowslippeer.Server{OnExchange: e.onExchange, OnEvents: e.onEvents, OnFollow: e.onFollow, OnRelay: e.onRelay}
	start(func() error { return s.Serve(e.life, e.o.Peers) })
	start(callers.Serve)
	start(operators.Run)
	w.Go(e.controlLoop)
	for _, f := range e.sourceLoops() {
		w.Go(f)
	}
	e.event("instanceStarted", e.o.ID, "failure domain "+e.o.FailureDomain)
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	e.drain(callers)
	t, cancel := context.WithTimeout(context.Background(), stopTimeout/10)
	defer cancel()
	callers.Stop(t)
	stopServer(operators)
	e.end()
	w.Wait()
	e.later.Wait()
	return errors.Annotate(err, "cowslipentry: serve")
}

// callerEdge is the platform's edge, or the product's own interface for
// callers.
func (e *Entry) callerEdge() (Edge, error) {
	if e.o.Edge != nil {
		return e.o.Edge(e)
	}
	h := e.callerServer()
	return Edge{Serve: h.Run, Drain: func() {}, Stop: func(context.Context) { stopServer(h) }}, nil
}

// sourceLoops are the loops by which the instance learns of targets and of the
// operators' text.
func (e *Entry) sourceLoops() []func() {
	if e.o.Edge != nil {
		return []func(){e.storeLoop, e.followOwn, e.followOthers, e.reachLoop, e.moveLoop, e.leaseLoop, e.sweepLoop}
	}
	return []func(){e.watchLoop, e.listLoop, e.leaseLoop, func() { e.peerLoop(e.peerAddrs) }, e.probeLoop}
}

// sweepLoop closes connections to targets that have been idle for too long.
func (e *Entry) sweepLoop() {
	for e.sleep(e.life, sweepInterval) {
		e.forwarder.Sweep(e.clock.Now())
	}
}

// Ready tells whether requests can be served: a configuration is known, and the
// instance does not stop.
func (e *Entry) Ready() bool { return e.ready.Load() && !e.draining.Load() }

// Closing tells whether callers should close their connections and come back on
// new ones, which reach other instances.
func (e *Entry) Closing() bool { return e.draining.Load() || e.isolated.Load() != 0 }

// drain finishes what runs and takes leave of peers and platform.
func (e *Entry) drain(callers Edge) {
	e.event("instanceLeaving", e.o.ID, "readiness is off")
	began := e.clock.Now()
	e.draining.Store(true)
	callers.Drain()
	if e.o.Edge != nil {
		e.runLater(e.leave)
	}
	e.sleep(e.life, e.o.DrainWait)
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Leave() })
	done := make(chan struct{})
	go func() {
		e.requests.Wait()
		close(done)
	}()
	e.awaitRequests(began, done)
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if e.o.Edge == nil {
		e.exchangeAll(ctx)
		e.leave(ctx)
	}
	e.event("instanceStopped", e.o.ID, "no request is left")
}

// leave takes this instance off the list of entry instances.
func (e *Entry) leave(ctx context.Context) {
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Leave() })
	t, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	if l := e.lease.Swap(0); l != 0 {
		if err := e.o.Store.Revoke(t, l); err != nil {
			e.log.Warn("lease not released", "error", err)
		}
	}
}

// awaitRequests waits for the last request, until the end of the grace is near.
func (e *Entry) awaitRequests(began time.Time, done <-chan struct{}) {
	grace := e.tuned().bounds.Grace
	if grace == 0 {
		<-done
		return
	}
	select {
	case <-done:
	case <-e.clock.After(grace - e.clock.Since(began) - graceMargin):
		e.event("requestsLeft", e.o.ID, "the grace is over")
	}
}

func (e *Entry) event(kind, subject, detail string) {
	e.events.Add(kind, subject, detail)
	e.log.Info(kind, "subject", subject, "detail", detail)
}

func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-e.clock.After(d):
		return true
	}
}

func (e *Entry) runLater(task func(context.Context)) {
	e.later.Go(func() { task(e.life) })
}

// disconnected holds a target whose connection ended: it may have started
// anew.
func (e *Entry) disconnected(addr string) {
	v := e.view.Load()
	if v == nil {
		return
	}
	if t := v.Target(addr); t != nil {
		t.Suspend()
	}
}
