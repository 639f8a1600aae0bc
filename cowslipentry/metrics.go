package cowslipentry

import (
	"context"
	"expvar"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app"
)

const (
	maxLatencyMicros         = 60_000_000
	latencySignificantDigits = 2
)

// Metrics are the counters of one instance, served at /debug/vars.
type Metrics struct {
	vars              *expvar.Map
	queries           *expvar.Int
	incomplete        *expvar.Int
	records           *expvar.Int
	refusedForLoad    *expvar.Int
	subRequestsNeeded *expvar.Int // sub-requests needed for the answers, without retries and hedges
	subRequestsSent   *expvar.Int // sub-requests sent, including retries and hedges
	refusedForPace    *expvar.Int // requests refused at once since targets take none in time
	crashes           *expvar.Int
	crashesNotShared  *expvar.Int // failed attempts to tell the other instances of a crash
	wideProbed        *expvar.Int // wide requests sent to one shard first
	wideRefused       *expvar.Int // wide requests refused since targets crash under wide requests
	warningsSent      *expvar.Int // crash warnings sent to another instance
	warningsReceived  *expvar.Int
	warningsDropped   *expvar.Int // crash warnings that gave way to newer ones
	reruns            *expvar.Int // queries run again because the view was stale
	probes            *expvar.Int
	exchanges         *expvar.Int
	ticks             *expvar.Int
	tickNanos         *expvar.Int
	samplesLost       *expvar.Int
	storeCalls        *expvar.Int
	storeEras         *expvar.Int // eras of the store that began while this process ran
	poolFull          *expvar.Int
	reportsRejected   *expvar.Int // load reports of targets that are malformed

	relayed      *expvar.Int // requests that a relay answered for this instance
	relaysFailed *expvar.Int // requests offered to a relay that did not accept them or did not answer

	unauthorized *expvar.Int // requests without a key that is in force

	conns       *expvar.Map // what connections hold, by port
	connsClosed *expvar.Map // connections that limits closed, by port and reason

	routes     routeTable
	workspaces workspaceTable

	mu      sync.Mutex
	latency *hdrhistogram.Histogram
}

func newMetrics(id string) *Metrics {
	m := &Metrics{vars: new(expvar.Map).Init(), latency: hdrhistogram.New(1, maxLatencyMicros, latencySignificantDigits)}
	n := func(name string) *expvar.Int {
		v := new(expvar.Int)
		m.vars.Set(name, v)
		return v
	}
	s := new(expvar.String)
	s.Set(id)
	m.vars.Set("instance", s)
	m.queries, m.incomplete, m.records, m.refusedForLoad = n("queries"), n("queriesIncomplete"), n("records"), n("refusedForLoad")
	m.subRequestsNeeded, m.subRequestsSent, m.crashes, m.reruns = n("subRequestsNeeded"), n("subRequestsSent"), n("targetCrashes"), n("reruns")
	m.refusedForPace = n("refusedForPace")
	m.wideProbed, m.wideRefused = n("wideProbed"), n("wideRefused")
	m.warningsSent, m.warningsReceived, m.warningsDropped = n("crashWarningsSent"), n("crashWarningsReceived"), n("crashWarningsDropped")
	m.crashesNotShared = n("targetCrashesNotShared")
	m.probes, m.exchanges, m.ticks, m.tickNanos = n("probes"), n("exchanges"), n("ticks"), n("tickNanos")
	m.storeCalls, m.storeEras = n("storeCalls"), n("storeEras")
	m.samplesLost, m.poolFull = n("samplesLost"), n("poolFull")
	m.reportsRejected = n("loadReportsRejected")
	m.relayed, m.relaysFailed = n("relayed"), n("relaysFailed")
	m.conns, m.connsClosed = new(expvar.Map).Init(), new(expvar.Map).Init()
	m.vars.Set("conns", m.conns)
	m.vars.Set("connsClosed", m.connsClosed)
	m.vars.Set("queryLatencyMicros", expvar.Func(m.quantiles))
	m.unauthorized = n("unauthorized")
	m.vars.Set("workspaces", expvar.Func(func() any { return m.workspaces.snapshot() }))
	m.vars.Set("routes", expvar.Func(func() any { return m.routes.snapshot() }))
	return m
}

// publishState adds the instance's state to its metrics.
func (e *Entry) publishState() {
	e.metrics.vars.Set("state", expvar.Func(func() any { return e.state() }))
	e.metrics.vars.Set("storeProblems", expvar.Func(func() any { return e.storeProblems.status().Count }))
	if f := e.opts.Store; f != nil && f.UnreadableEras != nil {
		e.metrics.vars.Set("storeErasUnreadable", expvar.Func(func() any { return f.UnreadableEras() }))
	}
	e.metrics.vars.Set("learnedTargets", expvar.Func(func() any { return e.learner.table.Status(e.clock.Now()) }))
	e.metrics.vars.Set("admission", expvar.Func(func() any { return e.admissions.status(e.clock.Now()) }))
}

func (m *Metrics) observe(d time.Duration, complete bool) {
	m.queries.Add(1)
	if !complete {
		m.incomplete.Add(1)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	// Latencies above the highest trackable one count as that one, so RecordValue
	// cannot fail.
	_ = m.latency.RecordValue(min(d.Microseconds(), maxLatencyMicros))
}

func (m *Metrics) quantiles() any {
	m.mu.Lock()
	defer m.mu.Unlock()
	return map[string]int64{"p50": m.latency.ValueAtQuantile(50), "p99": m.latency.ValueAtQuantile(99), "p999": m.latency.ValueAtQuantile(99.9)}
}

func (e *Entry) handleVars(_ context.Context, c *app.RequestContext) {
	c.Data(200, "application/json", []byte(e.metrics.vars.String()))
}

// instanceState is the part of an instance's state that is published as a metric.
type instanceState struct {
	cowslipcontrol.Counts
	StoreAgeMillis int64 `json:"storeAgeMillis"` // age of the mirror: the time since the store last confirmed it, -1 if it never did
	Connections    int64 `json:"connections"`    // connections opened to targets for forwarded requests since the start
	Ready          bool  `json:"ready"`
	Isolated       bool  `json:"isolated"`
}

// storeAgeMillis returns the age of the mirror, -1 if the store never confirmed it.
func (e *Entry) storeAgeMillis() int64 {
	if at := e.mirror.ConfirmedAt(); !at.IsZero() {
		return e.clock.Since(at).Milliseconds()
	}
	return -1
}

func (e *Entry) state() instanceState {
	s := instanceState{StoreAgeMillis: e.storeAgeMillis(), Connections: e.forwarder.Opened(), Ready: e.Ready(), Isolated: e.isolatedSince.Load() != 0}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { s.Counts = c.Counts() })
	return s
}
