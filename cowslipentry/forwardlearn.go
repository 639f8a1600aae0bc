package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// nominalLatency is the mean latency of a target that answers as fast as its
// route's median.
const nominalLatency = 10 * time.Millisecond

// observeAttempt takes from the end of an attempt what it tells of the target, and gives
// its room back.
func (f *forward) observeAttempt(ctx context.Context, t *cowsliproute.Target, x forwardResult, d time.Duration) {
	now := f.clock.Now()
	t.RecordProgress(now)
	r := x.info.Report
	if r.Leaving {
		t.SetLeaving(true)
	}
	if r.Slots > 0 {
		t.SetLoad(r.Running + r.Queued)
	}
	s := cowslipcontrol.Sample{Target: t, Route: f.route.Config().Name(), Outcome: x.outcome, Latency: d, At: now}
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
	f.sample(s)
}

// normalizeLatency scales a latency by the median of its route, so that targets compare
// whatever requests they got.
func (f *forward) normalizeLatency(d time.Duration) time.Duration {
	typical := f.route.MedianLatency()
	if typical <= 0 {
		return nominalLatency
	}
	return time.Duration(float64(d) / float64(typical) * float64(nominalLatency))
}
