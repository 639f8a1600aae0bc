package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

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
		t.SetLoad(otherLoad(r))
	}
	s := cowslipcontrol.Sample{Target: t, Route: f.route.Config().Name(), Outcome: x.outcome, Report: r, Latency: d, At: now}
	s.GivenUp = x.outcome == cowsliptarget.NotSent && ctx.Err() != nil
	s.TimedOut = x.outcome == cowsliptarget.Cancelled && ctx.Err() == context.DeadlineExceeded
	switch x.outcome {
	case cowsliptarget.OK:
		t.ObserveLatency(f.normalizeLatency(d))
		f.learnCapacity(t, x, d, now)
	case cowsliptarget.Cancelled:
		t.ObserveMinLatency(f.normalizeLatency(d))
	default:
		if !s.GivenUp {
			t.ObserveFailure(cowsliproute.NominalLatency)
		}
	}
	t.Release()
	f.enqueueSample(s)
}

// otherLoad returns the load in a target's report without the request that the report
// answers, which counts as running.
func otherLoad(r cowsliptarget.Report) int { return max(r.Running-1, 0) + r.Queued }

// normalizeLatency scales a latency so that the median of its route becomes
// cowsliproute.NominalLatency. Targets can then be compared although they receive requests of
// different routes.
func (f *forward) normalizeLatency(d time.Duration) time.Duration {
	typical := f.route.MedianLatency()
	if typical <= 0 {
		return cowsliproute.NominalLatency
	}
	return time.Duration(float64(d) / float64(typical) * float64(cowsliproute.NominalLatency))
}
