package cowslipentry

import (
	"context"
	"sync/atomic"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipguard"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliptarget"
)

// probeRetryAfter is the delay that callers are told to wait if no probe shard has a target. It
// takes seconds until one is back, but callers wait only for a third of the time that they have left.
const probeRetryAfter = 120 * time.Millisecond

// lossCheckDelays are the waits before each check of a target that broke off a request. A process
// that ends may close its connections some milliseconds before its listener.
var lossCheckDelays = []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond}

// forwardGuard is the part of a wide request's state that guards targets against crashes. The
// zero value is that of a request to a single service.
type forwardGuard struct {
	guard    *cowslipguard.Guard // of the services asked; nil for a single one
	checks   int                 // targets that were checked for a crash
	crashes  atomic.Int64        // targets that have crashed with no answer of another one
	answered atomic.Bool         // a target has answered
	warned   atomic.Bool         // other instances were warned of the request
}

const (
	// explanationWait is how long an answer of another target may take to show that a request did
	// not crash the first one. When many targets end at once, as with a failure domain, requests
	// that were just sent have no answer yet; taken for crashing ones, they would put all wide
	// requests under the guard for a minute. Meanwhile nothing more of the request is sent, and the
	// guards are alert for seconds only.
	explanationWait = 15 * time.Millisecond
	// minAlertCrashes is how many targets must crash under one sending, if it asks as many, to put
	// a calm guard on alert. A request that crashes targets ends most that it reaches, while one
	// may end by itself with any request in flight.
	minAlertCrashes = 2
)

// planProbes sets in the options how a wide request is sent while some crash targets. It refuses
// one that must not be sent now.
func (f *forward) planProbes(o *cowslipquery.DispatchOptions) (Reply, bool) {
	if !f.gathers() {
		return Reply{}, false
	}
	now := f.clock.Now()
	f.guard.guard = f.wide.guards.Of(f.services...)
	p := f.guard.guard.Plan(now, f.copies, f.services, f.route.Config().MinCoverage())
	if reason, d := f.followPlan(p, now, o); reason != "" {
		f.metrics.wideRefused.Add(1)
		return notRunReply(reason, spreadReturn(d)), true
	}
	if len(o.Probes) > 0 {
		f.metrics.wideProbed.Add(1)
	}
	return Reply{}, false
}

// followPlan sets in the options how the guard's plan is followed. It returns why the request must
// not be sent now, empty if it may be, and the delay until it may come again.
func (f *forward) followPlan(p cowslipguard.Plan, now time.Time, o *cowslipquery.DispatchOptions) (reason string, delay time.Duration) {
	if p.Wait > 0 && !f.suspicion.Trial {
		return "a target crashed under the request", p.Wait
	}
	o.Alert, o.Probes, o.HedgeProbe = p.Alert, p.Probes, true
	if f.suspicion.Whole {
		o.Probes, o.HedgeProbe = cowslipguard.ProbeShards(f.copies, f.services, f.route.Config().MinCoverage()), false
	}
	if len(o.Probes) == 0 {
		return "", 0
	}
	d, ok := o.ProbeDelay(now)
	if !ok {
		d = probeRetryAfter
	}
	if !ok || d > 0 && now.Add(d).After(o.CapacityDeadline) {
		return "targets crash under wide requests, and none that may be asked first takes the request", d
	}
	return "", 0
}

// checkLoss checks, in the background, whether the target of an attempt of a wide request has
// crashed. The request is told at once, as are the guard and other instances.
func (f *forward) checkLoss(x forwardResult) {
	if f.guard.guard == nil || x.outcome != cowsliptarget.Lost && x.outcome != cowsliptarget.Corrupt || x.target.Leaving() || f.mayStop(x.target) || f.guard.checks >= maxCrashProbes {
		return
	}
	f.guard.checks++
	excused := f.answers.has(f.clock.Now(), f.fingerprint)
	broken := f.clock.Now()
	f.runInBackground(func(ctx context.Context) {
		if !f.refusesSoon(ctx, x.target.Info().Addr) {
			return
		}
		if f.guard.answered.Load() {
			return
		}
		certain := f.guard.guard.Certain(f.clock.Now())
		enough := certain || f.guard.crashes.Add(1) >= int64(min(minAlertCrashes, len(f.services)))
		service := x.target.Info().Service
		if enough {
			f.recordLoss(service, cowslipguard.Loss{Request: f.copies, Excused: excused, Suspected: !certain})
		}
		if !certain && !f.sleep(ctx, explanationWait-f.clock.Since(broken)) || f.guard.answered.Load() {
			return
		}
		f.sendResult(forwardResult{attempt: x.attempt, crashed: true})
		if enough && !certain {
			f.recordLoss(service, cowslipguard.Loss{Request: f.copies, Excused: excused})
		}
	})
}

// refusesSoon reports whether the host at an address refuses connections, or does so after one
// of lossCheckDelays.
func (f *forward) refusesSoon(ctx context.Context, addr string) bool {
	for _, d := range lossCheckDelays {
		if f.sleep(ctx, d) && f.forwarder.Refuses(ctx, addr) {
			return true
		}
	}
	return false
}

// recordLoss tells the guard and, once for each sending, other instances of a crash.
func (f *forward) recordLoss(service string, l cowslipguard.Loss) {
	now := f.clock.Now()
	f.guardLoss(f.guard.guard, l, service, f.incident)
	if !f.guard.warned.CompareAndSwap(false, true) {
		return
	}
	w := crashWarning{at: now, message: &cowslipmessage.CrashWarning{
		Id: f.opts.ID, Incarnation: f.incarnation, Incident: f.incident, Fingerprint: f.fingerprint, Family: f.family, Copies: f.copies, Content: f.content, Services: []string{service},
	}}
	if !l.Excused {
		w.message.Crashes = 1
	}
	f.warnPeers(w)
}

// handleCrash passes the news of a crash to the Dispatch.
func (f *forward) handleCrash(attempt int) []cowslipquery.DispatchAction {
	if attempt < 0 {
		return f.dispatch.Stop()
	}
	return f.dispatch.TargetCrashed(f.clock.Now(), attempt)
}

// awaitWarnings makes a wide request end if a target crashes under it at another instance. The
// returned function ends that.
func (f *forward) awaitWarnings() func() {
	if f.guard.guard == nil {
		return func() {}
	}
	f.wide.running.add(f)
	return func() { f.wide.running.remove(f) }
}

// reportAnswer tells the guard of an answer of all shards.
func (f *forward) reportAnswer(x Reply) {
	if f.guard.guard != nil && x.Kind == ReplyGathered && x.Missing == 0 {
		f.guard.guard.Answered(f.start, f.copies)
	}
}

// guardCrash tells the guard of the services of a crash under a wide request.
func (e *Entry) guardCrash(s cowslipcontrol.SharedCrash, age time.Duration) {
	if s.Wide && !s.Partial && age < cowslipguard.AlertTime {
		e.guardLoss(e.wide.guards.Of(s.Service), cowslipguard.Loss{Age: age, Request: s.Copies, Excused: s.Answered}, s.Service, s.Incident)
	}
}

func (e *Entry) guardLoss(g *cowslipguard.Guard, l cowslipguard.Loss, service, incident string) {
	if g.Loss(e.clock.Now(), l) {
		e.event("wideRequestsGuarded", service, "a target crashed under wide request "+incident+"; unknown ones are sent to one shard first until "+cowslipguard.AlertTime.String()+" after the last crash")
	}
}
