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

// TargetOptions configure a Target. ID and Service are needed.
type TargetOptions struct {
	ID            string
	Service       string
	FailureDomain string
	Version       string
	Holdings      []cowsliptarget.Holding
	Slots         int           // requests run at once, 2 if 0
	Queue         int           // requests that wait for a slot, as many as slots if 0
	Connections   int           // accepted at once, any number if 0
	ConnectTime   time.Duration // before the first request of a connection is read
	WarmTime      time.Duration // after a start during which the target is cold
	ColdSlots     int           // requests that it bears while cold, 1 if 0; more overload it
	Latency       time.Duration // of a request, 1 ms if 0
	NetworkDelay  time.Duration // added to each answer, for the way between failure domains
	Seed          uint64        // of the latencies' spread
}

// TargetFaults are the switches of a Target. The zero value is a target
// without faults.
type TargetFaults struct {
	Leaving      bool          `json:"leaving"`     // refuse new work and say so
	SilentLeave  bool          `json:"silentLeave"` // count as leaving without a signal, for the record only
	Extra        time.Duration `json:"extraNanos"`  // added to each request
	FailEvery    int           `json:"failEvery"`   // every n-th request fails; 1 for all
	FailRoute    string        `json:"failRoute"`   // only on this route
	FailFrom     int           `json:"failFrom"`    // only while at least this many requests run
	CrashOn      string        `json:"crashOn"`     // a request whose text contains this crashes the target
	DropReplies  int           `json:"dropReplies"` // close the connection after running this many requests
	Swap         bool          `json:"swap"`        // answer with the ID of another request
	Truncate     bool          `json:"truncate"`    // answer without the last item
	Double       bool          `json:"double"`      // send each answer twice
	HideReports  bool          `json:"hideReports"` // reports say idle and warm, whatever is so
	StaleReports time.Duration `json:"staleNanos"`  // age of the load reported by status
}

// ReceivedRequest is one request that a target received.
type ReceivedRequest struct {
	ID      string    `json:"id"`
	Route   string    `json:"route"`
	At      time.Time `json:"at"`
	Ran     bool      `json:"ran"`
	Record  bool      `json:"record"`
	Text    string    `json:"text"`
	Cold    bool      `json:"cold"`
	Leaving bool      `json:"leaving"`
	Running int       `json:"running"` // with this one
}

// TargetRecord is what a Target did.
type TargetRecord struct {
	Runs           []ReceivedRequest `json:"runs"`
	ColdPeak       int               `json:"coldPeak"`       // most requests at once while cold
	ColdOverloads  int               `json:"coldOverloads"`  // requests that came over ColdSlots while cold
	Crashes        int               `json:"crashes"`        // by CrashOn
	Sheds          int               `json:"sheds"`          // refused for load
	ConnectionPeak int               `json:"connectionPeak"` // most connections at once
	Refused        int               `json:"refused"`        // connections over the cap
}

// Target is a stand-in of a target. Make it with StartTarget; it is safe for
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
	staleReport   cowsliptarget.Report // the load and state that reports give while they lag
	staleReportAt time.Time            // when stale was taken
}

// StartTarget starts a target on a loopback address, on a free port if the
// port of addr is 0.
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
	t.server.POST("/v1/search", func(ctx context.Context, c *app.RequestContext) { t.search(ctx, c, n) })
	t.server.POST("/v1/record", func(ctx context.Context, c *app.RequestContext) { t.recordRequest(ctx, c, n) })
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

// Addr is where the target listens.
func (t *Target) Addr() string { return t.addr }

// Options are those it was started with.
func (t *Target) Options() TargetOptions { return t.options }

// SetFaults switches faults.
func (t *Target) SetFaults(f TargetFaults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faults = f
}

// SetHoldings changes what the target holds, as when an index version or a
// shard map changes.
func (t *Target) SetHoldings(h []cowsliptarget.Holding) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.holdings = h
}

// ResetWarmUp turns the target cold again without notice.
func (t *Target) ResetWarmUp() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.started = time.Now()
}

// Record copies what the target did so far.
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

// Kill ends the target at once, as a crash does.
func (t *Target) Kill() {
	t.mu.Lock()
	l, h := t.listener, t.server
	t.mu.Unlock()
	l.Listener.Close()
	l.closeAll(true)
	go shutdown(h)
}

// Restart kills the target and starts it again at its address after a pause.
func (t *Target) Restart(pause time.Duration) error {
	t.Kill()
	time.Sleep(pause)
	return t.start()
}

func (t *Target) isCold() bool { return time.Since(t.started) < t.options.WarmTime }

// incarnationID names the target's present run.
func (t *Target) incarnationID() string { return fmt.Sprintf("%s-%d", t.options.ID, t.incarnation) }

func (t *Target) report(whole bool) cowsliptarget.Report {
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
	if whole {
		r.Holdings = append([]cowsliptarget.Holding{}, t.holdings...)
	}
	return r
}

// admission is how the target decided on a request.
type admission struct {
	refusalCode string // of a refusal, empty if the request may run
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

// work waits for a slot and runs for the latency; it tells whether it was not
// cancelled meanwhile.
func (t *Target) work(ctx context.Context, slots chan struct{}, extra time.Duration) bool {
	got := false
	select {
	case slots <- struct{}{}:
		got = true
	case <-ctx.Done():
	}
	t.mu.Lock()
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
	t.running--
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
