package cowsliproute

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// latencySampleDivisor is the share of a new sample in a target's mean latency: 1/8.
	latencySampleDivisor = 8
	// failureLatencyFactor is the latency, in those of a usual answer, that a failed request
	// counts as: it spends a retry of the budget that hedges draw on, too.
	failureLatencyFactor = 16
	// stallFactor is the time without an end of a request, in mean latencies,
	// from which a target counts as stalled.
	stallFactor = 4
	// stallPenalty is the load, in requests, that a stalled target counts as having
	// on top of what is known.
	stallPenalty = 4
	// connectPenalty is the load, in requests, that a target counts as having on top
	// if a request to it needs a new connection.
	connectPenalty = 1
	// remoteCostFactor is the cost of a target in another failure domain over that
	// of one in the own.
	remoteCostFactor = 2
)

// TargetInfo is what does not change about a target.
type TargetInfo struct {
	ID            string
	Addr          string
	Service       string
	FailureDomain string
	Version       string
	Slots         int
}

// Target is the traffic side of a target. It is safe for concurrent use.
type Target struct {
	info         TargetInfo
	limit        atomic.Int64
	maxIdleConns atomic.Int64
	inFlight     atomic.Int64
	load         atomic.Int64
	latency      atomic.Int64
	leaving      atomic.Bool
	suspensions  atomic.Int64 // so far
	suspension   atomic.Int64 // number of the hold that is on, 0 if none is

	incarnation  atomic.Pointer[string]
	pace         atomic.Pointer[rate.Limiter] // of a cold target, nil for none
	lastProgress atomic.Int64                 // when the requests in flight last moved on: one was sent to an idle target, or one ended
}

// NewTarget makes a target that receives nothing until SetLimit opens it.
func NewTarget(i TargetInfo) *Target { return &Target{info: i} }

// Info is what does not change about the target.
func (t *Target) Info() TargetInfo { return t.info }

// SetLimit sets how many requests this process may have in flight at it.
func (t *Target) SetLimit(n int) { t.limit.Store(int64(n)) }

// Limit is how many requests this process may have in flight at it.
func (t *Target) Limit() int { return int(t.limit.Load()) }

// SetPace bounds the requests of this process to the target to a rate, one at a
// time; 0 ends that.
func (t *Target) SetPace(perSecond float64) {
	p := t.pace.Load()
	switch {
	case perSecond <= 0:
		t.pace.Store(nil)
	case p == nil || p.Limit() != rate.Limit(perSecond):
		t.pace.Store(rate.NewLimiter(rate.Limit(perSecond), 1))
	}
}

// SetMaxIdleConns sets how many idle connections this process may keep open to it.
func (t *Target) SetMaxIdleConns(n int) { t.maxIdleConns.Store(int64(n)) }

// MaxIdleConns is how many idle connections this process may keep open to it. A target
// of which none is kept is asked on a new connection, so that more processes
// reach it than may keep connections.
func (t *Target) MaxIdleConns() int { return int(t.maxIdleConns.Load()) }

// InFlight is how many requests this process has in flight at it.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Suspend stops new requests: the target's connection ended, so it may have
// started anew and be cold.
func (t *Target) Suspend() { t.suspension.Store(t.suspensions.Add(1)) }

// Available tells whether the target may be asked at all, though it may have no room.
func (t *Target) Available() bool { return !t.leaving.Load() && t.limit.Load() > 0 }

// Suspension is the number of the hold that is on, 0 if none is.
func (t *Target) Suspension() int64 { return t.suspension.Load() }

// Resume ends the hold of that number; a later one stays on.
func (t *Target) Resume(hold int64) { t.suspension.CompareAndSwap(hold, 0) }

// SetIncarnation notes which run of the target answered last.
func (t *Target) SetIncarnation(i string) { t.incarnation.Store(&i) }

// Incarnation is the run of the target that answered last, empty if none did.
func (t *Target) Incarnation() string {
	if p := t.incarnation.Load(); p != nil {
		return *p
	}
	return ""
}

// SetLeaving notes whether the target shuts down.
func (t *Target) SetLeaving(l bool) { t.leaving.Store(l) }

// Leaving tells whether the target shuts down.
func (t *Target) Leaving() bool { return t.leaving.Load() }

// SetLoad notes the requests that the target reports as running and queued.
func (t *Target) SetLoad(n int) { t.load.Store(int64(n)) }

// Load is the requests that the target last reported as running and queued.
func (t *Target) Load() int { return int(t.load.Load()) }

// ObserveLatency adds a sample to the mean latency.
func (t *Target) ObserveLatency(d time.Duration) {
	o := t.latency.Load()
	if o == 0 {
		t.latency.Store(int64(d))
		return
	}
	t.latency.Store(o + (int64(d)-o)/latencySampleDivisor)
}

// ObserveMinLatency adds a request that was given up after d: its latency would
// have been longer, by as much again for all that is known. It counts only if
// that is news.
func (t *Target) ObserveMinLatency(d time.Duration) {
	if int64(d) > t.latency.Load() {
		t.ObserveLatency(2 * d)
	}
}

// ObserveFailure adds a request that the target failed; usual is the latency of a
// good answer.
func (t *Target) ObserveFailure(usual time.Duration) { t.ObserveLatency(failureLatencyFactor * usual) }

// ResetLatency forgets all samples.
func (t *Target) ResetLatency() { t.latency.Store(0) }

// Latency is the mean latency, 0 before the first sample.
func (t *Target) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Acquire takes room for one request, to be given back by Release.
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

// paceAllows tells whether a request may come to the target at now by its pace.
func (t *Target) paceAllows(now time.Time) bool {
	p := t.pace.Load()
	return p == nil || now.IsZero() || p.TokensAt(now) >= 1
}

// acquirePaced is Acquire within the target's pace.
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

// Release gives room back.
func (t *Target) Release() { t.inFlight.Add(-1) }

// RecordSent notes that a request was sent at now, once its room is taken.
func (t *Target) RecordSent(now time.Time) {
	if t.inFlight.Load() <= 1 {
		t.lastProgress.Store(monotonicNanos(now))
	}
}

// RecordProgress notes that the target ended a request at now, of whatever outcome.
func (t *Target) RecordProgress(now time.Time) { t.lastProgress.Store(monotonicNanos(now)) }

// SinceProgress is how long requests have been in flight without any ending, 0 if there
// are none.
func (t *Target) SinceProgress(now time.Time) time.Duration {
	if t.inFlight.Load() <= 0 {
		return 0
	}
	return time.Duration(monotonicNanos(now) - t.lastProgress.Load())
}

// Stalled tells whether requests are in flight of which none has ended for
// over stallFactor times the mean latency: the target pauses, or is gone.
func (t *Target) Stalled(now time.Time) bool {
	l := t.latency.Load()
	return l > 0 && int64(t.SinceProgress(now)) > stallFactor*l
}

// hasCapacity tells whether Acquire would succeed, without taking.
func (t *Target) hasCapacity() bool {
	return !t.leaving.Load() && t.suspension.Load() == 0 && t.inFlight.Load() < t.limit.Load()
}

// hasFreeSlot tells whether the target has a free slot as far as is known.
func (t *Target) hasFreeSlot() bool {
	return t.hasCapacity() && t.effectiveLoad() < int64(max(t.info.Slots, 1))
}

// effectiveLoad is the queue a request would meet, by reported and local load.
func (t *Target) effectiveLoad() int64 { return max(t.load.Load(), t.inFlight.Load()) }

// betterThan tells whether t is the better choice of two: by load, weighted by
// latency once both have samples, and in the failure domain named, unless that
// is empty, where the target there is as good.
func (t *Target) betterThan(o *Target, now time.Time, domain string) bool {
	a, b := t.latency.Load(), o.latency.Load()
	if a == 0 || b == 0 {
		a, b = 1, 1
	}
	return t.score(a, now, domain) < o.score(b, now, domain)
}

func (t *Target) score(latency int64, now time.Time, domain string) int64 {
	c := t.effectiveLoad() + 1
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
