package cowslipstandin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"

	"cowslipflow/cowsliptarget"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// KeyStep is the distance between the keys that a stand-in target holds.
const KeyStep = 256

// TargetOptions configure a Target. ID and Service are required.
type TargetOptions struct {
	ID            string
	Service       string
	FailureDomain string
	Version       string
	Holdings      []cowsliptarget.Holding
	Slots         int           // requests that run at once, 2 if 0
	Queue         int           // requests that may wait for a slot, as many as Slots if 0
	Connections   int           // connections open at once, unlimited if 0
	ConnectTime   time.Duration // delay until the first request of a connection is read
	WarmTime      time.Duration // time after a start during which the target is cold
	ColdSlots     int           // requests at once above which a cold target counts as overloaded, 1 if 0
	Latency       time.Duration // mean time that a request runs, 1 ms if 0
	NetworkDelay  time.Duration // added to each answer as the round trip between failure domains
	Seed          uint64        // of the random latencies
}

// TargetFaults are the faults that a Target injects. The zero value injects none.
type TargetFaults struct {
	Leaving      bool          `json:"leaving"`     // refuse new requests with cowsliptarget.CodeLeaving, and report it
	SilentLeave  bool          `json:"silentLeave"` // only mark new requests in the record as received while leaving; neither refuse them nor report it
	Extra        time.Duration `json:"extraNanos"`  // added to the latency of each request
	FailEvery    int           `json:"failEvery"`   // every n-th request fails; 1 for all
	FailRoute    string        `json:"failRoute"`   // limits FailEvery to this route
	FailFrom     int           `json:"failFrom"`    // limits FailEvery to times when at least this many requests run or wait
	CrashOn      string        `json:"crashOn"`     // a request whose text contains this crashes the target
	DropReplies  int           `json:"dropReplies"` // run this many requests, but close the connection instead of answering
	Swap         bool          `json:"swap"`        // answer with the ID of the previous request
	Truncate     bool          `json:"truncate"`    // answer without the last item
	Double       bool          `json:"double"`      // send each answer twice
	HideReports  bool          `json:"hideReports"` // report the target as idle and warm, whatever its state
	StaleReports time.Duration `json:"staleNanos"`  // interval at which the reported load and cold state are updated
}

// ReceivedRequest is a request that a target received, whether it ran or not.
type ReceivedRequest struct {
	ID      string    `json:"id"`
	Route   string    `json:"route"`
	At      time.Time `json:"at"`
	Ran     bool      `json:"ran"`
	Record  bool      `json:"record"` // whether it is a record rather than a search
	Text    string    `json:"text"`   // the query, or the body of the record
	Cold    bool      `json:"cold"`
	Leaving bool      `json:"leaving"`
	Running int       `json:"running"` // requests that run or wait, with this one
}

// TargetRecord holds the requests that a Target received and its counters.
type TargetRecord struct {
	Runs           []ReceivedRequest `json:"runs"`
	ColdPeak       int               `json:"coldPeak"`       // most requests at once while cold
	ColdOverloads  int               `json:"coldOverloads"`  // requests above ColdSlots while cold
	Crashes        int               `json:"crashes"`        // by CrashOn
	Sheds          int               `json:"sheds"`          // requests refused because of load
	ConnectionPeak int               `json:"connectionPeak"` // most connections at once since the last start
	Refused        int               `json:"refused"`        // connections closed above the limit since the last start
}

// Target is a stand-in for a target. Create it with StartTarget. It is safe for
// concurrent use.
type Target struct {
	options       TargetOptions
	mu            sync.Mutex
	faults        TargetFaults
	holdings      []cowsliptarget.Holding
	record        TargetRecord
	incarnation   int
	started       time.Time
	running       int
	queued        int
	admitted      int
	slots         chan struct{}
	random        *rand.Rand
	addr          string
	listener      *listener
	server        *server.Hertz
	lastID        string
	staleReport   cowsliptarget.Report // the load and cold state that is reported if StaleReports is set
	staleReportAt time.Time            // when staleReport was last updated
}

// StartTarget starts a target that listens on addr, on a free port if the port of addr
// is 0.
func StartTarget(addr string, o TargetOptions) (*Target, error) {
	if o.Slots == 0 {
		o.Slots = 2
	}
	if o.Queue == 0 {
		o.Queue = o.Slots
	}
	if o.ColdSlots == 0 {
		o.ColdSlots = 1
	}
	if o.Latency == 0 {
		o.Latency = time.Millisecond
	}
	t := &Target{options: o, holdings: o.Holdings, random: rand.New(rand.NewPCG(o.Seed, 1)), addr: addr}
	return t, t.start()
}

func (t *Target) start() error {
	l, err := net.Listen("tcp", t.addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addr = l.Addr().String()
	t.incarnation++
	t.started = time.Now()
	t.slots = make(chan struct{}, t.options.Slots)
	t.running, t.queued = 0, 0
	t.listener = newListener(l, t.options.Connections, func() time.Duration { return t.options.ConnectTime })
	t.server = newServer(t.listener)
	n := t.incarnation
	t.server.POST("/v1/search", func(ctx context.Context, c *app.RequestContext) { t.handleSearch(ctx, c, n) })
	t.server.POST("/v1/record", func(ctx context.Context, c *app.RequestContext) { t.handleRecord(ctx, c, n) })
	t.server.POST("/v1/status", func(_ context.Context, c *app.RequestContext) { c.JSON(200, t.report(true)) })
	t.server.GET("/v1/runs", func(_ context.Context, c *app.RequestContext) { c.JSON(200, t.Record()) })
	t.server.PUT("/v1/faults", func(_ context.Context, c *app.RequestContext) {
		var f TargetFaults
		if decodeBody(c, &f) {
			t.SetFaults(f)
			c.JSON(200, f)
		}
	})
	go t.server.Run()
	return nil
}

// Addr returns the address that the target listens on.
func (t *Target) Addr() string { return t.addr }

// Options returns the options that the target was started with, with defaults filled
// in.
func (t *Target) Options() TargetOptions { return t.options }

// SetFaults replaces the faults that the target injects.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetHoldings replaces the holdings, as when an index version or a shard map changes.
func (t *Target) SetHoldings(h []cowsliptarget.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdings = h
}

// ResetWarmUp makes the target cold again without a restart.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = time.Now()
}

// Record returns a copy of the record so far.
func (t *Target) Record() TargetRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record
	r.Runs = append([]ReceivedRequest(nil), r.Runs...)
	if t.listener != nil {
		t.listener.mu.Lock()
		r.ConnectionPeak = max(r.ConnectionPeak, t.listener.peak)
		r.Refused += t.listener.refused
		t.listener.mu.Unlock()
	}
	return r
}

// Kill stops the target at once, as a crash does: it closes all connections.
func (t *Target) Kill() {
	t.mu.Lock()
	l, h := t.listener, t.server
	t.mu.Unlock()
	l.Listener.Close()
	l.closeAll(true)
	go shutdown(h)
}

// Restart kills the target and starts it again on the same address after a pause.
func (t *Target) Restart(pause time.Duration) error {
	t.Kill()
	time.Sleep(pause)
	return t.start()
}

func (t *Target) isCold() bool { return time.Since(t.started) < t.options.WarmTime }

// incarnationID identifies the current run of the target.
func (t *Target) incarnationID() string { return fmt.Sprintf("%s-%d", t.options.ID, t.incarnation) }

func (t *Target) report(withHoldings bool) cowsliptarget.Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := cowsliptarget.Report{
		Incarnation: t.incarnationID(), Version: t.options.Version, Leaving: t.faults.Leaving,
		Cold: t.isCold(), Running: t.running, Queued: t.queued, Slots: t.options.Slots,
	}
	if t.faults.HideReports {
		r.Cold, r.Running, r.Queued = false, 0, 0
	}
	if lag := t.faults.StaleReports; lag > 0 {
		if time.Since(t.staleReportAt) >= lag {
			t.staleReportAt, t.staleReport = time.Now(), r
		}
		r.Cold, r.Running, r.Queued = t.staleReport.Cold, t.staleReport.Running, t.staleReport.Queued
	}
	if withHoldings {
		r.Holdings = append([]cowsliptarget.Holding{}, t.holdings...)
	}
	return r
}

// admission is the target's decision on a request.
type admission struct {
	refusalCode string // empty if the request may run
	crash       bool
	fail        bool
	dropReply   bool
	faults      TargetFaults
}

func (t *Target) admit(id, route, text, expected string, record bool, holds func(cowsliptarget.Holding) bool) admission {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := admission{faults: t.faults}
	r := ReceivedRequest{ID: id, Route: route, At: time.Now(), Record: record, Text: text, Cold: t.isCold(), Leaving: t.faults.Leaving || t.faults.SilentLeave, Running: t.running + t.queued + 1}
	switch {
	case expected != "" && expected != t.incarnationID():
		a.refusalCode = cowsliptarget.CodeRestarted
	case t.faults.Leaving:
		a.refusalCode = cowsliptarget.CodeLeaving
	case holds != nil && !t.holds(holds):
		a.refusalCode = cowsliptarget.CodeWrongVersion
	case t.running+t.queued >= t.options.Slots+t.options.Queue:
		a.refusalCode = cowsliptarget.CodeShed
		t.record.Sheds++
	}
	if a.refusalCode == "" {
		r.Ran = true
		t.recordColdLoad(r)
		t.queued++
		t.admitted++
		f := t.faults
		a.crash = f.CrashOn != "" && strings.Contains(text, f.CrashOn)
		a.fail = f.FailEvery > 0 && t.admitted%f.FailEvery == 0 && (f.FailRoute == "" || f.FailRoute == route) && r.Running >= f.FailFrom
		if f.DropReplies > 0 {
			t.faults.DropReplies--
			a.dropReply = true
		}
		if a.crash {
			t.record.Crashes++
		}
	}
	t.record.Runs = append(t.record.Runs, r)
	return a
}

func (t *Target) holds(match func(cowsliptarget.Holding) bool) bool {
	for _, h := range t.holdings {
		if match(h) {
			return true
		}
	}
	return false
}

func (t *Target) recordColdLoad(r ReceivedRequest) {
	if !r.Cold {
		return
	}
	t.record.ColdPeak = max(t.record.ColdPeak, r.Running)
	if r.Running > t.options.ColdSlots {
		t.record.ColdOverloads++
	}
}

// work waits for a slot, holds it for the latency and then waits for the network
// delay. It reports whether ctx was still active at the end.
func (t *Target) work(ctx context.Context, slots chan struct{}, extra time.Duration) bool {
	got := false
	select {
	case slots <- struct{}{}:
		got = true
	case <-ctx.Done():
	}
	t.mu.Lock()
	n := t.incarnation
	if t.slots != slots {
		// The target has restarted, so that its counters do not hold this request.
		t.mu.Unlock()
		return false
	}
	t.queued--
	if got {
		t.running++
	}
	d := t.options.Latency/2 + time.Duration(t.random.Int64N(int64(t.options.Latency))) + extra
	t.mu.Unlock()
	if !got {
		return false
	}
	ok := sleep(ctx, d)
	t.mu.Lock()
	if t.incarnation == n {
		t.running--
	}
	t.mu.Unlock()
	<-slots
	return ok && sleep(ctx, t.options.NetworkDelay)
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	s := time.NewTimer(d)
	defer s.Stop()
	select {
	case <-s.C:
		return true
	case <-ctx.Done():
		return false
	}
}
