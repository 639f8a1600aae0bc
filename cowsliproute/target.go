package cowsliproute

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// latencySampleDivisor sets the weight of a new sample in the moving average of a
	// target's latency: 1/8.
	latencySampleDivisor = 8
	// failureLatencyFactor is how many usual latencies a failed request counts as. It
	// is high because a failure spends a retry from the budget that hedges need, too.
	failureLatencyFactor = 16
	// stallFactor is how many average latencies may pass without the end of any request
	// before a target counts as stalled.
	stallFactor = 4
	// stallPenalty is added to the load of a stalled target, in requests.
	stallPenalty = 4
	// overLimitPenalty is added to the load of a target for each request above the number up
	// to which it does not slow down.
	overLimitPenalty = 1
	// estimateWeight is what an estimate counts beside the own samples, in samples.
	estimateWeight = 2
	// connectPenalty is added to the load of a target, in requests, if this process keeps
	// no idle connections to it, so that a request needs a new one.
	connectPenalty = 1
	// remoteCostFactor multiplies the cost of a target outside the preferred failure
	// domain.
	remoteCostFactor = 2
)

// NominalLatency is the normalized latency of an answer that takes as long as the median of
// its route.
const NominalLatency = 10 * time.Millisecond

// TargetInfo holds the properties of a target that never change.
type TargetInfo struct {
	ID            string
	Addr          string
	Service       string
	FailureDomain string
	Version       string
	Slots         int
}

// Target is the routing state of a target. It is safe for concurrent use.
type Target struct {
	info         TargetInfo
	limit        atomic.Int64
	maxIdleConns atomic.Int64
	inFlight     atomic.Int64
	load         atomic.Int64
	latency      atomic.Int64
	estimate     atomic.Pointer[estimate] // nil if none is known
	leaving      atomic.Bool
	suspensions  atomic.Int64 // number of suspensions so far
	suspension   atomic.Int64 // number of the suspension in effect, 0 if there is none

	incarnation  atomic.Pointer[string]
	pace         atomic.Pointer[rate.Limiter] // limits the rate of requests; nil for no limit
	pausedUntil  atomic.Int64                 // in monotonic nanoseconds, 0 if the target never asked for a pause
	lastProgress atomic.Int64                 // when a request last ended, or was sent while none was in flight; in monotonic nanoseconds
}

// estimate is what was learned about a target from the answers to all instances.
type estimate struct {
	speed     float64
	limit     int64
	ownWeight float64
}

// NewTarget returns a target that gets no requests until SetLimit is called.
func NewTarget(i TargetInfo) *Target { return &Target{info: i} }

// Info returns the properties of the target that never change.
func (t *Target) Info() TargetInfo { return t.info }

// SetLimit sets how many requests this process may have in flight at the target.
func (t *Target) SetLimit(n int) { t.limit.Store(int64(n)) }

// Limit returns how many requests this process may have in flight at the target.
func (t *Target) Limit() int { return int(t.limit.Load()) }

// SetPace limits the rate at which this process sends requests to the target. At most
// burst of them, or one, are sent at once. A rate of 0 removes the limit.
func (t *Target) SetPace(now time.Time, perSecond float64, burst int) {
	p := t.pace.Load()
	switch {
	case perSecond <= 0:
		t.pace.Store(nil)
	case p == nil:
		t.pace.Store(rate.NewLimiter(rate.Limit(perSecond), max(burst, 1)))
	case p.Limit() != rate.Limit(perSecond):
		// What has accrued stays, so that a change of the rate allows no new burst.
		p.SetLimitAt(now, rate.Limit(perSecond))
		p.SetBurstAt(now, max(burst, 1))
	}
}

// Pause stops new requests until the given time. A shorter pause does not end a longer one.
func (t *Target) Pause(until time.Time) {
	u := monotonicNanos(until)
	for {
		o := t.pausedUntil.Load()
		if o >= u || t.pausedUntil.CompareAndSwap(o, u) {
			return
		}
	}
}

// TakePause takes over the pause that another run of the target has asked for.
func (t *Target) TakePause(o *Target) { t.pausedUntil.Store(o.pausedUntil.Load()) }

// paused returns how long after now the target's pause lasts.
func (t *Target) paused(now time.Time) time.Duration {
	u := t.pausedUntil.Load()
	if u == 0 || now.IsZero() {
		return 0
	}
	return max(time.Duration(u-monotonicNanos(now)), 0)
}

// SendDelay returns how long after now the target's pace and its pause allow the next
// request.
func (t *Target) SendDelay(now time.Time) time.Duration {
	d := t.paused(now)
	if p := t.pace.Load(); p != nil {
		missing := max(1-p.TokensAt(now), 0)
		d = max(d, time.Duration(missing/float64(p.Limit())*float64(time.Second)))
	}
	return d
}

// SetMaxIdleConns sets how many idle connections this process may keep open to the
// target.
func (t *Target) SetMaxIdleConns(n int) { t.maxIdleConns.Store(int64(n)) }

// MaxIdleConns returns how many idle connections this process may keep open to the
// target. If it is 0, each request uses a new connection, so that more processes can
// reach the target than may keep connections to it.
func (t *Target) MaxIdleConns() int { return int(t.maxIdleConns.Load()) }

// InFlight returns how many requests this process has in flight at the target.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Suspend stops new requests until Resume. It is called when a connection to the target
// has ended, since the target may have restarted and be cold.
func (t *Target) Suspend() { t.suspension.Store(t.suspensions.Add(1)) }

// Available reports whether the target is not shutting down and has a limit above 0,
// even if it is suspended or at its limit now.
func (t *Target) Available() bool { return !t.leaving.Load() && t.limit.Load() > 0 }

// Suspension returns the number of the suspension in effect, or 0 if there is none.
func (t *Target) Suspension() int64 { return t.suspension.Load() }

// Resume ends the suspension with the given number. A later one stays in effect.
func (t *Target) Resume(suspension int64) { t.suspension.CompareAndSwap(suspension, 0) }

// SetIncarnation records which incarnation of the target answered last.
func (t *Target) SetIncarnation(i string) { t.incarnation.Store(&i) }

// Incarnation returns which incarnation of the target answered last, or the empty
// string if none has answered.
func (t *Target) Incarnation() string {
	if p := t.incarnation.Load(); p != nil {
		return *p
	}
	return ""
}

// SetLeaving records whether the target is shutting down.
func (t *Target) SetLeaving(l bool) { t.leaving.Store(l) }

// Leaving reports whether the target is shutting down.
func (t *Target) Leaving() bool { return t.leaving.Load() }

// SetLoad records how many requests the target reports as running or queued.
func (t *Target) SetLoad(n int) { t.load.Store(int64(n)) }

// Load returns the load last set by SetLoad.
func (t *Target) Load() int { return int(t.load.Load()) }

// ObserveLatency adds a sample to the moving average of the latency.
func (t *Target) ObserveLatency(d time.Duration) {
	o := t.latency.Load()
	if o == 0 {
		t.latency.Store(int64(d))
		return
	}
	t.latency.Store(o + (int64(d)-o)/latencySampleDivisor)
}

// ObserveMinLatency records a request that was given up after d. Its latency would have
// been longer than d, by an unknown amount, so it counts as 2*d. It is ignored unless d
// exceeds the average.
func (t *Target) ObserveMinLatency(d time.Duration) {
	if int64(d) > t.latency.Load() {
		t.ObserveLatency(2 * d)
	}
}

// ObserveFailure records a request that the target failed, as a sample of
// failureLatencyFactor times usual, the latency of a good answer.
func (t *Target) ObserveFailure(usual time.Duration) { t.ObserveLatency(failureLatencyFactor * usual) }

// ResetLatency discards all latency samples and the estimate.
func (t *Target) ResetLatency() {
	t.latency.Store(0)
	t.estimate.Store(nil)
}

// SetEstimate sets what was learned about the target: its speed relative to the other targets
// of its service, 1 being average, and the number of requests in flight up to which it does not
// slow down, 0 if that is unknown. OwnWeight is the number of recent samples that this process
// has of the target itself.
func (t *Target) SetEstimate(speed float64, limit int, ownWeight float64) {
	t.estimate.Store(&estimate{speed: speed, limit: int64(limit), ownWeight: ownWeight})
}

// Estimate returns what SetEstimate set last, or 0, 0.
func (t *Target) Estimate() (speed float64, limit int) {
	if e := t.estimate.Load(); e != nil {
		return e.speed, int(e.limit)
	}
	return 0, 0
}

// expectedLatency returns the latency by which the target is compared with others, 0 if it is
// unknown. The samples of this process follow changes fastest; the fewer it has, the more the
// estimate counts, which rests on those of all instances.
func (t *Target) expectedLatency() int64 {
	l := t.latency.Load()
	e := t.estimate.Load()
	if e == nil {
		return l
	}
	learned := int64(float64(NominalLatency) / e.speed)
	if l == 0 {
		return learned
	}
	w := e.ownWeight / (e.ownWeight + estimateWeight)
	return int64(w*float64(l) + (1-w)*float64(learned))
}

// Latency returns the moving average of the latency, or 0 before the first sample.
func (t *Target) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Acquire reserves capacity for one request, to be returned by Release. It reports false
// if the target is shutting down, suspended or at its limit.
func (t *Target) Acquire() bool {
	if t.leaving.Load() || t.suspension.Load() != 0 {
		return false
	}
	if t.inFlight.Add(1) > t.limit.Load() {
		t.inFlight.Add(-1)
		return false
	}
	return true
}

// paceAllows reports whether the target's pace allows a request at now. A zero now
// ignores the pace.
func (t *Target) paceAllows(now time.Time) bool {
	p := t.pace.Load()
	return p == nil || now.IsZero() || p.TokensAt(now) >= 1
}

// acquirePaced is like Acquire, but also respects the target's pace unless now is zero.
func (t *Target) acquirePaced(now time.Time) bool {
	if !t.Acquire() {
		return false
	}
	if p := t.pace.Load(); p != nil && !now.IsZero() && !p.AllowN(now, 1) {
		t.Release()
		return false
	}
	return true
}

// Release ends a reservation made by Acquire.
func (t *Target) Release() { t.inFlight.Add(-1) }

// RecordSent records that a request was sent at now. Call it after Acquire.
func (t *Target) RecordSent(now time.Time) {
	if t.inFlight.Load() <= 1 {
		t.lastProgress.Store(monotonicNanos(now))
	}
}

// RecordProgress records that a request to the target ended at now, whatever its
// outcome.
func (t *Target) RecordProgress(now time.Time) { t.lastProgress.Store(monotonicNanos(now)) }

// SinceProgress returns how long requests have been in flight without any of them
// ending, or 0 if none are in flight.
func (t *Target) SinceProgress(now time.Time) time.Duration {
	if t.inFlight.Load() <= 0 {
		return 0
	}
	return time.Duration(monotonicNanos(now) - t.lastProgress.Load())
}

// Stalled reports whether requests are in flight and none has ended for more than
// stallFactor times the average latency, as when the target is paused or gone.
func (t *Target) Stalled(now time.Time) bool {
	l := t.latency.Load()
	return l > 0 && int64(t.SinceProgress(now)) > stallFactor*l
}

// obstacle returns why Acquire would fail, or the empty string if it would succeed.
func (t *Target) obstacle() Obstacle {
	limit := t.limit.Load()
	switch {
	case t.leaving.Load():
		return Leaving
	case t.suspension.Load() != 0:
		return Suspended
	case limit <= 0:
		return NoLimit
	case t.inFlight.Load() >= limit:
		return AtLimit
	}
	return ""
}

// hasFreeSlot reports whether, as far as the load is known, a request would not have to queue
// at the target. A paced target has no slot to spare.
func (t *Target) hasFreeSlot() bool {
	return t.pace.Load() == nil && t.effectiveLoad() < int64(max(t.info.Slots, 1))
}

// effectiveLoad returns the greater of the load that the target reported and the number
// of requests that this process has in flight at it.
func (t *Target) effectiveLoad() int64 { return max(t.load.Load(), t.inFlight.Load()) }

// betterThan reports whether t is a better choice than o. It compares their loads,
// weighted by latency once both have samples, and prefers a target in the given failure
// domain, if any, among targets that are about as good.
func (t *Target) betterThan(o *Target, now time.Time, domain string) bool {
	a, b := t.expectedLatency(), o.expectedLatency()
	if a == 0 || b == 0 {
		a, b = 1, 1
	}
	return t.score(a, now, domain) < o.score(b, now, domain)
}

// score returns the cost of sending a request to the target; lower is better.
func (t *Target) score(latency int64, now time.Time, domain string) int64 {
	c := t.effectiveLoad() + 1
	if e := t.estimate.Load(); e != nil && e.limit > 0 {
		c += overLimitPenalty * max(c-e.limit, 0)
	}
	if t.maxIdleConns.Load() == 0 {
		c += connectPenalty
	}
	if !now.IsZero() && t.Stalled(now) {
		c += stallPenalty
	}
	if domain != "" && t.info.FailureDomain != domain {
		c *= remoteCostFactor
	}
	return c * latency
}
