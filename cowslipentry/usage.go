package cowslipentry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipusage"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Intervals and timeouts of usage reports.
const (
	// usageTick is the interval of the checks for a suspension and for things to do.
	usageTick = 100 * time.Millisecond
	// usageSendInterval is the interval at which changed counts are sent to the holder.
	usageSendInterval = time.Second
	// usageIdleInterval is that interval if nothing has changed. The holder then only
	// gets the time, which it forgets after three times as long.
	usageIdleInterval = 10 * time.Second
	// usageSendTimeout limits a message to the holder.
	usageSendTimeout = time.Second
	// maxCorrectionDelay is the time that a message to the holder may take for its answer to
	// correct the time. The first one of a process that was frozen would be wrong by that.
	maxCorrectionDelay = 500 * time.Millisecond
	// usageReportTimeout limits a call that reports a window. Other windows wait meanwhile.
	usageReportTimeout = 2 * time.Second
	// usageRankInterval is the interval at which a vacant duty makes an instance look up
	// whether it is a candidate.
	usageRankInterval = time.Second
	// usageStopTimeout limits what is done for usage when the instance stops.
	usageStopTimeout = 400 * time.Millisecond
)

// UsageOptions configure the reports of usage.
type UsageOptions struct {
	Window         time.Duration // length of a window
	Late           time.Duration // after the end of a window, its report is late
	Lease          time.Duration // of the duty to report
	CallsPerSecond float64       // limit of Send, no limit if 0
	// Send reports a window to the platform. It returns nil once the platform has taken
	// the report, cowslipusage.ErrTooManyCalls or ErrRejected if it has refused it, and
	// another error if the outcome is unknown. Once ctx ends, no byte is sent.
	Send func(ctx context.Context, holder string, token uint64, window int64, body []byte) error
}

// usage counts requests, sends the counts to the holder of the duty to report, and reports
// them if this instance is the holder.
type usage struct {
	*Entry
	options UsageOptions
	now     func() time.Time // the process's own time, which counts suspensions
	counter *cowslipusage.Counter
	self    cowslipusage.Holder

	rank   int // used by seen alone, like rankAt
	rankAt time.Time

	mu         sync.Mutex
	duty       *cowslipusage.Duty
	token      uint64
	collector  *cowslipusage.Collector // nil if another instance is the holder, like reporter
	reporter   *cowslipusage.Reporter
	cancelSend context.CancelFunc // of the call to the platform in flight
	storeCalls int64
}

func newUsage(e *Entry, o UsageOptions) *usage {
	u := &usage{Entry: e, options: o, now: suspensionClock(e.clock.Now()), counter: &cowslipusage.Counter{Window: o.Window}}
	u.self = cowslipusage.Holder{ID: e.opts.ID, Incarnation: e.incarnation, Addr: e.opts.Advertise}
	u.duty = cowslipusage.NewDuty(u.self, o.Lease, u.now(), func(kind, detail string) { e.event(kind, e.opts.ID, detail) })
	e.metrics.vars.Set("usage", usageVar(u))
	return u
}

// suspensionClock returns a clock that starts at a wall time and is not changed with it. It
// goes on while the machine is suspended, unlike the monotonic clock.
func suspensionClock(start time.Time) func() time.Time {
	boot := func() time.Duration {
		var t unix.Timespec
		// The call fails only for a clock that the kernel does not know.
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			return time.Since(start)
		}
		return time.Duration(t.Nano())
	}
	start = start.Round(0)
	began := boot()
	return func() time.Time { return start.Add(boot() - began) }
}

// run runs the loops until the instance stops, and then hands over what it has.
func (u *usage) run() {
	var w sync.WaitGroup
	for _, f := range []func(){u.watchLoop, u.dutyLoop, u.reportLoop, u.countLoop} {
		w.Go(f)
	}
	w.Wait()
	u.handOver()
}

// watchLoop notices suspensions and the end of the lease, and ends a call to the platform
// that may no longer be made.
func (u *usage) watchLoop() {
	for u.sleep(u.ctx, usageTick) {
		u.mu.Lock()
		if !u.duty.Tick(u.now()) && u.cancelSend != nil {
			u.cancelSend()
		}
		u.followDuty()
		u.mu.Unlock()
	}
}

// dutyLoop takes the duty if no instance has it, and renews the lease while it holds it.
func (u *usage) dutyLoop() {
	for u.ctx.Err() == nil {
		s := u.seen()
		u.mu.Lock()
		a := u.duty.Next(u.now(), s)
		u.mu.Unlock()
		if a.Kind == cowslipusage.None {
			u.sleep(u.ctx, usageTick)
			continue
		}
		r := u.callStore(u.ctx, a)
		u.mu.Lock()
		u.duty.Done(u.now(), r)
		u.followDuty()
		u.mu.Unlock()
	}
}

// followDuty begins and ends the work of the holder. u.mu must be held.
func (u *usage) followDuty() {
	token, ok := u.duty.Holds(u.now())
	switch {
	case !ok:
		u.token, u.collector, u.reporter = 0, nil, nil
	case token != u.token:
		o := cowslipusage.ReporterOptions{
			ID: u.opts.ID, Token: token, Window: u.options.Window, Late: u.options.Late,
			Event: func(kind, detail string) { u.event(kind, u.opts.ID, detail) },
		}
		if u.options.CallsPerSecond > 0 {
			o.MinPeriod = time.Duration(float64(time.Second) / u.options.CallsPerSecond)
		}
		u.token, u.collector = token, cowslipusage.NewCollector(u.options.Window)
		u.reporter = cowslipusage.NewReporter(o, u.collector, u.now())
	}
}

// eraBegan handles that the store has come back from an older copy.
func (u *usage) eraBegan() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.duty.EraBegan(u.now())
	u.followDuty()
}

// seen returns what the mirror shows of the duty.
func (u *usage) seen() cowslipusage.Seen {
	if h, _, held := u.holder(); held {
		return cowslipusage.Seen{Holder: h.ID, Rank: -1}
	}
	if !u.isMirrorConfirmed() || u.draining.Load() {
		return cowslipusage.Seen{Rank: -1}
	}
	if n := u.now(); n.Sub(u.rankAt) >= usageRankInterval {
		var l []cowslipusage.Candidate
		for _, m := range u.decodeMembers(u.mirror.Values()) {
			l = append(l, cowslipusage.Candidate{ID: m.ID, FailureDomain: m.FailureDomain})
		}
		u.rank, u.rankAt = cowslipusage.Rank(u.opts.ID, l), n
	}
	return cowslipusage.Seen{Rank: u.rank}
}

// reportLoop does the work of the holder while this instance has the duty.
func (u *usage) reportLoop() {
	for u.ctx.Err() == nil {
		r, a, ctx, cancel := u.nextReportCall()
		if a.Kind == cowslipusage.None {
			u.sleep(u.ctx, usageTick)
			continue
		}
		var x cowslipusage.Result
		if a.Kind == cowslipusage.Send {
			x.Err = u.options.Send(ctx, u.opts.ID, a.Token, a.Window, a.Data)
		} else {
			x = u.callStore(ctx, a)
		}
		cancel()
		u.endReportCall(r, a, x)
	}
}

func (u *usage) nextReportCall() (*cowslipusage.Reporter, cowslipusage.Action, context.Context, context.CancelFunc) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.followDuty()
	if u.reporter == nil {
		return nil, cowslipusage.Action{}, nil, nil
	}
	d, _ := u.counter.Correction()
	n := u.now()
	a := u.reporter.Next(n, d, u.duty.MayAct(n))
	ctx, cancel := context.WithTimeout(u.ctx, usageReportTimeout)
	if a.Kind == cowslipusage.Send {
		u.cancelSend = cancel
	}
	return u.reporter, a, ctx, cancel
}

func (u *usage) endReportCall(r *cowslipusage.Reporter, a cowslipusage.Action, x cowslipusage.Result) {
	u.mu.Lock()
	defer u.mu.Unlock()
	d, _ := u.counter.Correction()
	n := u.now()
	if a.Kind == cowslipusage.Send {
		u.cancelSend = nil
		if x.Err != nil {
			u.log.Warn("usage report not sent", "window", a.Window, "token", a.Token, "error", x.Err)
			if !errors.Is(x.Err, cowslipusage.ErrTooManyCalls) && !errors.Is(x.Err, cowslipusage.ErrRejected) {
				u.duty.Doubt(n)
			}
		}
	}
	r.Done(n, d, x)
}

// callStore makes a call to the store.
func (u *usage) callStore(ctx context.Context, a cowslipusage.Action) cowslipusage.Result {
	limit := platformCallTimeout
	if a.Kind == cowslipusage.KeepAlive {
		limit = u.options.Lease / 3 // or the next renewal would come too late
	}
	t, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	u.mu.Lock()
	u.storeCalls++
	u.mu.Unlock()
	s := u.opts.Store
	var r cowslipusage.Result
	switch a.Kind {
	case cowslipusage.Grant:
		r.Lease, r.Err = s.Grant(t, a.TTL)
	case cowslipusage.Put:
		r.Revision, r.Err = s.Put(t, cowslipplatform.Write{Key: a.Key, Data: a.Data, Expect: a.Expect, Lease: a.Lease})
	case cowslipusage.Get:
		r.Value, r.Err = s.Get(t, a.Key)
	case cowslipusage.KeepAlive:
		r.Err = s.KeepAlive(t, a.Lease)
	case cowslipusage.Revoke:
		r.Err = s.Revoke(t, a.Lease)
	}
	return r
}

// holder returns the holder that the mirror shows and its token, and whether there is one.
func (u *usage) holder() (cowslipusage.Holder, uint64, bool) {
	var h cowslipusage.Holder
	v, ok := u.mirror.Get(cowslipusage.HolderKey)
	if !ok {
		return h, 0, false
	}
	if err := json.Unmarshal(v.Data, &h); err != nil {
		u.log.Warn("holder of usage reports not decoded", "error", err)
		return h, 0, false
	}
	return h, cowslipusage.Token(v.Revision), true
}

// countLoop sends the counts of this process to the holder.
func (u *usage) countLoop() {
	var k *cowslippeer.Client
	var told uint64 // token of the holder that has got all counts
	var at time.Time
	for u.sleep(u.ctx, usageTick) {
		h, token, ok := u.holder()
		if !ok || u.now().Sub(at) < usageSendInterval && token == told {
			continue
		}
		if token != told {
			u.counter.HolderChanged()
		}
		w, n := u.counter.Report(u.now())
		if token == told && len(w) == 0 && u.now().Sub(at) < usageIdleInterval {
			continue
		}
		if k == nil || k.Addr != h.Addr {
			if k != nil {
				k.Close()
			}
			k = &cowslippeer.Client{Addr: h.Addr, Dial: u.opts.Dial}
		}
		at = u.now()
		if u.sendCounts(u.ctx, k, h, w, n) {
			told = token
			continue
		}
		u.sleep(u.ctx, usageSendInterval/2)
	}
	if k != nil {
		k.Close()
	}
}

// sendCounts sends counts to the holder. It reports whether the holder has them.
func (u *usage) sendCounts(ctx context.Context, k *cowslippeer.Client, h cowslipusage.Holder, windows map[int64]cowslipusage.Counts, number uint64) bool {
	t, cancel := context.WithTimeout(ctx, usageSendTimeout)
	defer cancel()
	m := &cowslipmessage.UsageReport{Id: u.self.ID, Incarnation: u.self.Incarnation, NowMicros: u.now().UnixMicro()}
	for w, l := range windows {
		m.Windows = append(m.Windows, &cowslipmessage.WindowCounts{Window: w, Counts: l})
	}
	send := k.Usage
	if h == u.self {
		send = u.onReport
	}
	began := u.now()
	r, err := send(t, m)
	if err != nil || !r.GetAccepted() {
		u.log.Debug("counts of usage not taken", "holder", h.ID, "error", err)
		return false
	}
	if u.now().Sub(began) < maxCorrectionDelay {
		u.counter.Correct(time.Duration(r.GetCorrectionMicros()) * time.Microsecond)
	}
	u.counter.Delivered(number)
	return true
}

// onReport takes the counts of an instance if this one is the holder. Until it has heard
// from the others, the holder relies on the correction that it got from its predecessor;
// without one it does not accept reports, though their counts are kept.
func (u *usage) onReport(_ context.Context, m *cowslipmessage.UsageReport) (*cowslipmessage.UsageReply, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.followDuty()
	if u.collector == nil {
		return &cowslipmessage.UsageReply{}, nil
	}
	r := cowslipusage.Report{ID: m.GetId(), Incarnation: m.GetIncarnation(), Now: time.UnixMicro(m.GetNowMicros()), Windows: map[int64]cowslipusage.Counts{}}
	for _, w := range m.GetWindows() {
		r.Windows[w.GetWindow()] = w.GetCounts()
	}
	n := u.now()
	u.collector.Add(n, r)
	own, known := u.counter.Correction()
	if u.reporter.Settled(n) {
		own, known = u.collector.Correction(n), true
		u.counter.Correct(own)
	}
	return &cowslipmessage.UsageReply{Accepted: known, CorrectionMicros: u.collector.CorrectionFor(r.ID, own).Microseconds()}, nil
}

// handOver sends the last counts to the holder or, if this instance is the holder, leaves
// its sums and the duty to a successor.
func (u *usage) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), usageStopTimeout)
	defer cancel()
	h, _, ok := u.holder()
	if w, n := u.counter.Report(u.now()); ok && len(w) > 0 {
		k := &cowslippeer.Client{Addr: h.Addr, Dial: u.opts.Dial}
		defer k.Close()
		u.sendCounts(ctx, k, h, w, n)
	}
	for _, a := range u.lastCalls() {
		if r := u.callStore(ctx, a); r.Err != nil {
			u.log.Warn("usage not handed over", "key", a.Key, "error", r.Err)
		}
	}
}

func (u *usage) lastCalls() []cowslipusage.Action {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.followDuty()
	var l []cowslipusage.Action
	if u.reporter != nil {
		d, _ := u.counter.Correction()
		l = append(l, u.reporter.Stop(u.now(), d))
	}
	l = append(l, u.duty.Release(u.now()))
	return l
}
