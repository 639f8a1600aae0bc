package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipguard"
	"cowslipflow/cowslipmessage"
)

const (
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
	loss := cowslipguard.Loss{Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Request: w.GetCopies(), Excused: excused, Suspected: true}
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
