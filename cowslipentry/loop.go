package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
)

// controlLoop owns the control state. It runs commands between ticks. Each tick
// handles the samples of finished requests and publishes a view.
func (e *Entry) controlLoop() {
	defer close(e.loopDone)
	t := e.clock.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case f := <-e.commands:
			f(e.clock.Now(), e.control)
		case <-t.C():
			e.tick()
		}
	}
}

func (e *Entry) tick() {
	for range len(e.samples) {
		e.control.Observe(<-e.samples)
	}
	n := e.clock.Now()
	if d := e.pauses.tick(n); d > 0 {
		e.control.Resumed(n, d)
	}
	v, x := e.control.Tick(n)
	e.view.Store(v)
	e.updateReadiness(n, v.Revision() > 0 && (e.opts.Edge == nil || e.isMirrorUsable(n)), e.control.Isolated(n))
	e.metrics.ticks.Add(1)
	e.metrics.tickNanos.Add(int64(e.clock.Since(n)))
	if x.Push {
		select {
		case e.exchangeNow <- struct{}{}:
		default:
		}
	}
	if x.Repair {
		a := e.control.Accepted()
		e.runInBackground(func(ctx context.Context) { e.repairStore(ctx, a) })
	}
	if len(x.Outcomes) > 0 {
		e.recordMoveOutcomes(x.Outcomes, x.Expected)
	}
	if e.opts.Edge != nil {
		e.shareHolds(x.Holds)
		e.shareWithdrawals(x.Withdrawals)
	}
	if len(x.Crashes) > 0 {
		e.shareEndedRuns(v, x.Crashes)
	}
	for _, s := range x.CrashesAgain {
		e.shareCrash(e.crashes, s)
	}
	for _, m := range x.Started {
		e.startRetried("started/"+m.ID(), func(ctx context.Context) time.Duration {
			_, wait := e.recordMoveState(ctx, m, MoveRunning, x.Expected[m.ID()])
			return wait
		})
	}
}

// updateReadiness sets whether the load balancer sends callers to this instance.
func (e *Entry) updateReadiness(now time.Time, configured, isolated bool) {
	e.ready.Store(configured && !isolated)
	switch {
	case isolated && e.isolatedSince.Load() == 0:
		e.isolatedSince.Store(now.UnixNano())
		e.event("isolated", e.opts.ID, "readiness is off: no other failure domain answers, and the targets of this one do not serve all routes")
	case !isolated && e.isolatedSince.Load() != 0:
		e.isolatedSince.Store(0)
		e.event("rejoined", e.opts.ID, "readiness is on")
	}
}

// do runs f on the control state, waits for it and reports whether it ran.
func (e *Entry) do(f func(now time.Time, c *cowslipcontrol.Control)) bool {
	done := make(chan struct{})
	g := func(now time.Time, c *cowslipcontrol.Control) {
		f(now, c)
		close(done)
	}
	select {
	case e.commands <- g:
	case <-e.loopDone:
		return false
	}
	select {
	case <-done:
		return true
	case <-e.loopDone:
		// The control loop has ended: f has either finished or will never run, so the
		// variables that it writes are safe to read.
		return false
	}
}

func (e *Entry) enqueueSample(s cowslipcontrol.Sample) {
	select {
	case e.samples <- s:
	default:
		e.metrics.samplesLost.Add(1)
	}
}

// recordMoveOutcomes records the outcomes of moves, with at most one task per move at
// a time. expected are the revisions of their records on which they were decided.
func (e *Entry) recordMoveOutcomes(l []*cowslipmessage.Outcome, expected map[string]cowslipplatform.Revision) {
	for _, o := range l {
		e.startRetried("outcome/"+o.GetMove(), func(ctx context.Context) time.Duration {
			return e.recordMoveOutcome(ctx, o, expected[o.GetMove()])
		})
	}
}

func (e *Entry) runInBackground(task func(context.Context)) {
	e.background.Go(func() { task(e.ctx) })
}

// startThrottled starts a task in the background unless one of the same name is
// running or ended less than interval ago.
func (e *Entry) startThrottled(name string, interval time.Duration, task func(context.Context)) {
	e.startRetried(name, func(ctx context.Context) time.Duration {
		task(ctx)
		return interval
	})
}

// startRetried starts a task in the background unless one of the same name is running or
// ended less than the time ago that it returned.
func (e *Entry) startRetried(name string, task func(context.Context) time.Duration) {
	if _, busy := e.activeTasks.LoadOrStore(name, true); busy {
		return
	}
	e.runInBackground(func(ctx context.Context) {
		e.sleep(ctx, task(ctx))
		e.activeTasks.Delete(name)
	})
}
