package cowslipentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipguard"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"

	"golang.org/x/time/rate"
)

const (
	// crashWarningRate and crashWarningBurst limit how often an instance warns the others, which
	// are up to 195.
	crashWarningRate  = 8 // per second
	crashWarningBurst = 8
	// maxCrashWarnings bounds the warnings that wait; the oldest is dropped first.
	maxCrashWarnings = 32
	// crashWarningTimeout limits a warning to one instance. A later one is of no use: the store
	// shows the crash by then.
	crashWarningTimeout = 300 * time.Millisecond
	// maxWarnedServices bounds the services of a warning.
	maxWarnedServices = 16
)

// wideGuard is what an instance knows of crashes under wide requests. The zero value is ready to use.
type wideGuard struct {
	guards   cowslipguard.Guards
	running  runningRequests
	warnings warningQueue
	shared   map[string]time.Time // when the store first showed each crash; used under applyMu
}

// runningRequests are the wide requests in flight. The zero value is ready to use. It is safe
// for concurrent use.
type runningRequests struct {
	mu sync.Mutex
	m  map[uint64][]*forward // by what is the same for any caller
}

func (r *runningRequests) add(f *forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = map[uint64][]*forward{}
	}
	r.m[f.copies] = append(r.m[f.copies], f)
}

func (r *runningRequests) remove(f *forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := slices.DeleteFunc(r.m[f.copies], func(x *forward) bool { return x == f }); len(l) > 0 {
		r.m[f.copies] = l
		return
	}
	delete(r.m, f.copies)
}

func (r *runningRequests) of(copies uint64) []*forward {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.m[copies])
}

// crashWarning is a warning that waits to be sent.
type crashWarning struct {
	at      time.Time // when the target broke off
	message *cowslipmessage.CrashWarning
}

// warningQueue holds the warnings to send, the newest last. The zero value is ready to use. It
// is safe for concurrent use.
type warningQueue struct {
	mu      sync.Mutex
	waiting []crashWarning
	sending bool // a task sends them
	limiter *rate.Limiter
	clients map[string]*cowslippeer.Client
}

// add queues a warning. It reports whether the caller must start a task that sends them, and
// whether one had to make room.
func (q *warningQueue) add(w crashWarning) (start, dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, w)
	if dropped = len(q.waiting) > maxCrashWarnings; dropped {
		q.waiting = slices.Delete(q.waiting, 0, 1)
	}
	start, q.sending = !q.sending, true
	return start, dropped
}

// more reports whether a warning waits. If none does, the task that sends them ends.
func (q *warningQueue) more() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sending = len(q.waiting) > 0
	return q.sending
}

// take removes the newest warning. One must wait.
func (q *warningQueue) take() crashWarning {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.waiting) - 1
	w := q.waiting[n]
	q.waiting = q.waiting[:n]
	return w
}

// client returns the client of the instance at an address.
func (q *warningQueue) client(e *Entry, addr string) *cowslippeer.Client {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.clients == nil {
		q.clients = map[string]*cowslippeer.Client{}
	}
	if q.clients[addr] == nil {
		q.clients[addr] = &cowslippeer.Client{Addr: addr, Dial: e.opts.Dial}
	}
	return q.clients[addr]
}

// retain closes the clients of instances that are not among the members.
func (q *warningQueue) retain(l []cowslipcontrol.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for a, c := range q.clients {
		if !slices.ContainsFunc(l, func(m cowslipcontrol.Member) bool { return m.Addr == a }) {
			delete(q.clients, a)
			go c.Close()
		}
	}
}

// wait waits until one more warning may be sent.
func (q *warningQueue) wait(ctx context.Context) error {
	q.mu.Lock()
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(crashWarningRate, crashWarningBurst)
	}
	l := q.limiter
	q.mu.Unlock()
	return l.Wait(ctx)
}

// warnPeers warns all instances that send wide requests to targets, in the background.
func (e *Entry) warnPeers(w crashWarning) {
	start, dropped := e.wide.warnings.add(w)
	if dropped {
		e.metrics.warningsDropped.Add(1)
	}
	if start {
		e.runInBackground(e.sendWarnings)
	}
}

// sendWarnings sends the warnings that wait.
func (e *Entry) sendWarnings(ctx context.Context) {
	q := &e.wide.warnings
	for q.more() && q.wait(ctx) == nil {
		w := q.take()
		var l []cowslipcontrol.Member
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { l = c.WidePeers() })
		q.retain(l)
		w.message.AgeMillis = e.clock.Since(w.at).Milliseconds()
		for _, m := range l {
			e.runInBackground(func(ctx context.Context) { e.warn(ctx, m, w.message) })
		}
	}
}

func (e *Entry) warn(ctx context.Context, m cowslipcontrol.Member, w *cowslipmessage.CrashWarning) {
	t, cancel := context.WithTimeout(ctx, crashWarningTimeout)
	defer cancel()
	if err := e.wide.warnings.client(e, m.Addr).Warn(t, w); err != nil {
		e.log.Debug("crash warning not sent", "peer", m.ID, "addr", m.Addr, "error", err)
		return
	}
	e.metrics.warningsSent.Add(1)
}

// onWarn learns of a crash under a wide request at another instance. The same request in flight
// here ends, as it would crash more targets.
func (e *Entry) onWarn(_ context.Context, w *cowslipmessage.CrashWarning) (*cowslipmessage.CrashWarningReply, error) {
	e.metrics.warningsReceived.Add(1)
	v := e.view.Load()
	if v == nil {
		return &cowslipmessage.CrashWarningReply{}, nil
	}
	// An instance that has answered the request itself, or whose request a target answered as well,
	// takes it to have shared the target.
	excused := w.GetCrashes() == 0 || e.answers.has(e.clock.Now(), w.GetFingerprint())
	loss := cowslipguard.Loss{Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Request: w.GetCopies(), Excused: excused}
	for _, s := range w.GetServices()[:min(len(w.GetServices()), maxWarnedServices)] {
		if v.Service(s) != nil {
			e.guardLoss(e.wide.guards.Of(s), loss, s, w.GetIncident())
		}
	}
	if !excused {
		for _, f := range e.wide.running.of(w.GetCopies()) {
			f.sendResult(forwardResult{attempt: -1, crashed: true})
		}
	}
	return &cowslipmessage.CrashWarningReply{}, nil
}

// guardSharedCrashes tells the guards of the crashes that the store shows.
func (e *Entry) guardSharedCrashes(l []cowslipcontrol.SharedCrash) {
	seen, now := make(map[string]time.Time, len(l)), e.clock.Now()
	for _, s := range l {
		k := s.Incident + " " + s.EndedRun
		at, ok := e.wide.shared[k]
		if !ok {
			// The clock of the instance that wrote it may be ahead.
			at = now.Add(-max(now.Sub(s.Ended), 0))
		}
		seen[k] = at
		if !ok {
			e.guardCrash(s, now.Sub(at))
		}
	}
	e.wide.shared = seen
	if v := e.view.Load(); v != nil && v.Revision() > 0 {
		e.wide.guards.Retain(func(s string) bool { return v.Service(s) != nil })
	}
}
