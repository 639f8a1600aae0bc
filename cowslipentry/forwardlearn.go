package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// nominalLatency is the normalized latency of an answer that takes as long as the
// median of its route.
const nominalLatency = 10 * time.Millisecond

// observeAttempt updates the target's state and statistics with the result of an
// attempt and releases its slot.
func (f *forward) observeAttempt(ctx context.Context, t *cowsliproute.Target, x forwardResult, d time.Duration) {
	now := f.clock.Now()
	t.RecordProgress(now)
	r := x.info.Report
	f.observeLoad(r)
	if r.Leaving {
		t.SetLeaving(true)
	}
	if x.info.RetryAfter > 0 {
		t.Pause(now.Add(x.info.RetryAfter))
		f.log.Info("target paused", "id", f.request.ID, "target", t.Info().ID, "forMillis", x.info.RetryAfter.Milliseconds())
	}
	if x.info.ReportProblem != "" {
		f.metrics.reportsRejected.Add(1)
		f.reportLogs.Do(func() {
			f.log.Warn("load report rejected", "target", t.Info().ID, "reason", x.info.ReportProblem)
		})
	}
	if r.Slots > 0 {
		t.SetLoad(r.Running + r.Queued)
	}
	s := cowslipcontrol.Sample{Target: t, Route: f.route.Config().Name(), Outcome: x.outcome, Report: r, Latency: d, At: now}
	s.GivenUp = x.outcome == cowsliptarget.NotSent && ctx.Err() != nil
	s.TimedOut = x.outcome == cowsliptarget.Cancelled && ctx.Err() == context.DeadlineExceeded
	switch x.outcome {
	case cowsliptarget.OK:
		t.ObserveLatency(f.normalizeLatency(d))
	case cowsliptarget.Cancelled:
		t.ObserveMinLatency(f.normalizeLatency(d))
	default:
		if !s.GivenUp {
			t.ObserveFailure(nominalLatency)
		}
	}
	t.Release()
	f.enqueueSample(s)
}

// normalizeLatency scales a latency so that the median of its route becomes
// nominalLatency. Targets can then be compared although they receive requests of
// different routes.
func (f *forward) normalizeLatency(d time.Duration) time.Duration {
	typical := f.route.MedianLatency()
	if typical <= 0 {
		return nominalLatency
	}
	return time.Duration(float64(d) / float64(typical) * float64(nominalLatency))
}
