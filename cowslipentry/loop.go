package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
)

// controlLoop owns the control state: it runs commands between ticks, and each
// tick takes in the samples of the traffic and publishes a view.
func (e *Entry) controlLoop() {
	defer close(e.looped)
	t := e.clock.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-e.life.Done():
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
	v, x := e.control.Tick(n)
	e.view.Store(v)
	e.setReady(n, v.Revision() > 0, e.control.Isolated(n))
	e.metrics.ticks.Add(1)
	e.metrics.tickNanos.Add(int64(e.clock.Since(n)))
	if x.Push {
		select {
		case e.push <- struct{}{}:
		default:
		}
	}
	if x.Repair {
		a := e.control.Accepted()
		e.runLater(func(ctx context.Context) { e.repair(ctx, a) })
	}
	if len(x.Outcomes) > 0 {
		e.recordOutcomes(x.Outcomes)
	}
	for _, m := range x.Started {
		e.once("started/"+m.ID(), outcomePause, func(ctx context.Context) { e.recordMove(ctx, m, MoveRunning) })
	}
}

// setReady decides whether the balancer sends callers here.
func (e *Entry) setReady(now time.Time, known, isolated bool) {
	e.ready.Store(known && !isolated)
	switch {
	case isolated && e.isolated.Load() == 0:
		e.isolated.Store(now.UnixNano())
		e.event("isolated", e.o.ID, "readiness is off: no other failure domain is reached, and the own targets do not serve all routes")
	case !isolated && e.isolated.Load() != 0:
		e.isolated.Store(0)
		e.event("rejoined", e.o.ID, "readiness is on")
	}
}

// do runs f on the control state and waits for it. It tells whether f ran.
func (e *Entry) do(f func(now time.Time, c *cowslipcontrol.Control)) bool {
	done := make(chan struct{})
	g := func(now time.Time, c *cowslipcontrol.Control) {
		f(now, c)
		close(done)
	}
	select {
	case e.commands <- g:
	case <-e.looped:
		return false
	}
	select {
	case <-done:
		return true
	case <-e.looped:
		// No command runs any more, so what f would write stays as it is.
		return false
	}
}

func (e *Entry) sample(s cowslipcontrol.Sample) {
	select {
	case e.samples <- s:
	default:
		e.metrics.samplesLost.Add(1)
	}
}

// recordOutcomes writes the ends of moves, one task each at a time.
func (e *Entry) recordOutcomes(l []*cowslipmessage.Outcome) {
	for _, o := range l {
		e.once("outcome/"+o.GetMove(), outcomePause, func(ctx context.Context) { e.recordOutcome(ctx, o) })
	}
}

// once starts a task unless one of that name runs or ended less than a pause ago.
func (e *Entry) once(name string, pause time.Duration, task func(context.Context)) {
	if _, busy := e.busy.LoadOrStore(name, true); busy {
		return
	}
	e.runLater(func(ctx context.Context) {
		task(ctx)
		e.sleep(ctx, pause)
		e.busy.Delete(name)
	})
}
