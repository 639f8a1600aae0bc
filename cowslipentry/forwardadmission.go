package cowslipentry

import (
	"math/rand/v2"
	"time"

	"cowslipflow/cowslipquery"
)

// returnSpread spreads the callers that are told to come back when a target takes requests
// again: each waits up to this share longer.
const returnSpread = 0.5

// tooLateToServe reports whether the instance is stopping and would probably have to end the
// request without an answer.
func (f *forward) tooLateToServe() bool {
	by := f.answerBy.Load()
	return by != nil && by.Sub(f.clock.Now()) < stopLatencyTargets*f.route.Config().LatencyTarget()
}

// refuseHopeless refuses a request that surely cannot be served, before any part of it uses
// up what targets take: too few parts have a target that may be asked, now or in time.
func (f *forward) refuseHopeless(o cowslipquery.DispatchOptions) (Reply, bool) {
	reason, d := hopeless(o, f.clock.Now())
	switch {
	case reason == "":
		return Reply{}, false
	case d == 0:
		return notRunReply(reason, f.retryAfter()), true
	}
	f.metrics.refusedForPace.Add(1)
	return notRunReply(reason, spreadReturn(d)), true
}

// hopeless returns why a request cannot be served, empty if it may be. The delay until enough
// targets take requests is 0 if it is not known.
func hopeless(o cowslipquery.DispatchOptions, now time.Time) (reason string, delay time.Duration) {
	d, ok := o.StartDelay(now)
	switch {
	case !ok:
		return "too few services have a target that may be asked", 0
	case d > 0 && now.Add(d).After(o.CapacityDeadline):
		return "too few services have a target that takes a request now", d
	}
	return "", 0
}

// holdDelay returns how long the caller of a request that is held is told to wait.
func (f *forward) holdDelay() time.Duration {
	if u := f.suspicion.HeldUntil; !u.IsZero() {
		return spreadReturn(u.Sub(f.clock.Now()))
	}
	return quarantineRetryAfter
}

// retryAfter returns how long a refused caller is told to wait. An isolated
// instance still receives callers until the load balancer notices, so they are told to
// wait until then.
func (f *forward) retryAfter() time.Duration {
	if since := f.isolatedSince.Load(); since != 0 {
		return max(f.opts.DrainWait-f.start.Sub(time.Unix(0, since)), shortRetryAfter)
	}
	return shortRetryAfter
}

// returnDelay returns how long the caller of a request that did not run is told to wait:
// until enough targets take requests again.
func (f *forward) returnDelay() time.Duration {
	d, _ := f.options.StartDelay(f.clock.Now())
	if len(f.options.Probes) > 0 {
		d = max(d, probeRetryAfter)
	}
	return spreadReturn(d)
}

// spreadReturn returns a delay of d or somewhat more, so that callers do not come back at
// the same time.
func spreadReturn(d time.Duration) time.Duration {
	return max(d+time.Duration(rand.Float64()*returnSpread*float64(d)), shortRetryAfter)
}
