package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

const (
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// probeLoop asks targets for a report where none came with an answer lately.
func (e *Entry) probeLoop() {
	for e.life.Err() == nil {
		var due []*cowsliproute.Target
		e.do(func(now time.Time, c *cowslipcontrol.Control) { due = c.DueProbes(now) })
		for _, t := range due {
			e.startProbe(t)
		}
		e.sleep(e.life, probeInterval)
	}
}

func (e *Entry) startProbe(t *cowsliproute.Target) {
	if _, busy := e.busy.LoadOrStore(t, true); busy {
		return
	}
	err := e.pool.Submit(func() {
		defer e.busy.Delete(t)
		ctx, cancel := context.WithTimeout(e.life, probeTimeout)
		defer cancel()
		e.metrics.probes.Add(1)
		h := t.Suspension()
		r, o := e.client.Status(ctx, t.Info().Addr)
		if o != cowsliptarget.OK {
			return
		}
		e.do(func(now time.Time, c *cowslipcontrol.Control) { c.Reported(now, t, r, h) })
	})
	if err != nil {
		e.busy.Delete(t)
	}
}
