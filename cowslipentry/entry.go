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
	sampleBuffer     = 16384
	poolSize         = 8192
	defaultDrainWait = 2 * time.Second
	defaultClaimRate = 40 // keyed requests a second, two writes each
	claimBurst       = 20
	stopTimeout      = 2 * time.Second
)

// Options configure an Entry. ID, FailureDomain, the listeners and Store are
// needed.
type Options struct {
	ID             string
	FailureDomain  string
	Callers        net.Listener // HTTP for callers
	Operators      net.Listener // HTTP for operators
	Peers          net.Listener // drpc for other entry instances
	Advertise      string       // where peers reach Peers; its own address if empty
	Store          *cowslipplatform.Store
	Seeds          []string      // peers' addresses to try before the platform names any
	DrainWait      time.Duration // time for the balancer to notice a shutdown, 2 s if 0
	ClaimRate      float64       // keyed requests a second, 40 if 0
	Token          string        // that operators' calls must bear; none if empty
	CallersTLS     *tls.Config
	OperatorsTLS   *tls.Config
	Log            *slog.Logger
	Clock          clock.WithTicker
	Baseline       Baseline
	EventsCapacity int

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
		o.DrainWait = defaultDrainWait
	}
	if o.ClaimRate == 0 {
		o.ClaimRate = defaultClaimRate
	}
	p, err := ants.NewPool(poolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, errors.Annotate(err, "cowslipentry: pool")
	}
	e := &Entry{
		o: o, log: o.Log.With("instance", o.ID), clock: o.Clock, pool: p,
		events:   cowslipevent.New(cowslipevent.Options{Instance: o.ID, Clock: o.Clock, Capacity: o.EventsCapacity}),
		commands: make(chan func(time.Time, *cowslipcontrol.Control), 64),
		samples:  make(chan cowslipcontrol.Sample, sampleBuffer),
		looped:   make(chan struct{}),
		push:     make(chan struct{}, 1),
		claims:   rate.NewLimiter(rate.Limit(o.ClaimRate), claimBurst),
		metrics:  newMetrics(o.ID),
	}
	e.life, e.end = context.WithCancel(context.Background())
	e.client = cowsliptarget.NewClient(cowsliptarget.Options{OnDisconnect: e.disconnected, Dial: o.Dial})
	e.control = cowslipcontrol.New(cowslipcontrol.Options{
		ID: o.ID, FailureDomain: o.FailureDomain, Addr: o.Advertise, Incarnation: newID(),
		NoRamp: o.Baseline.NoRamp, NoPool: o.Baseline.NoPool, NoAdmission: o.Baseline.NoAdmission, RoundRobin: o.Baseline.RoundRobin, Event: e.event,
	}, e.clock.Now())
	e.recorder = &cowsliprecord.Recorder{Entry: o.ID, Store: o.Store, Clock: e.clock, Later: e.runLater}
	return e, nil
}

// Run serves until ctx ends, then shuts down gracefully: readiness goes off,
// requests are accepted until the balancer has noticed, what runs is finished,
// peers are told, leases are released.
func (e *Entry) Run(ctx context.Context) error {
	defer e.pool.Release()
	defer e.client.Close()
	defer e.end()
	callers := e.callerServer()
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
	s := &cowslippeer.Server{OnExchange: e.onExchange, OnEvents: e.onEvents}
	start(func() error { return s.Serve(e.life, e.o.Peers) })
	start(callers.Run)
	start(operators.Run)
	w.Go(e.controlLoop)
	w.Go(e.watchLoop)
	w.Go(e.listLoop)
	w.Go(e.leaseLoop)
	w.Go(e.peerLoop)
	w.Go(e.probeLoop)
	e.event("instanceStarted", e.o.ID, "failure domain "+e.o.FailureDomain)
	var err error
	select {
	case <-ctx.Done():
	case err = <-errs:
	}
	e.drain()
	stopServer(callers)
	stopServer(operators)
	e.end()
	w.Wait()
	e.later.Wait()
	return errors.Annotate(err, "cowslipentry: serve")
}

// drain finishes what runs and takes leave of peers and platform.
func (e *Entry) drain() {
	e.event("instanceLeaving", e.o.ID, "readiness is off")
	e.draining.Store(true)
	e.sleep(e.life, e.o.DrainWait)
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Leave() })
	done := make(chan struct{})
	go func() {
		e.requests.Wait()
		close(done)
	}()
	<-done
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	e.exchangeAll(ctx)
	if l := e.lease.Load(); l != 0 {
		if err := e.o.Store.Revoke(ctx, l); err != nil {
			e.log.Warn("lease not released", "error", err)
		}
	}
	e.event("instanceStopped", e.o.ID, "no request is left")
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
		t.Hold()
	}
}
