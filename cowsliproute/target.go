package cowsliproute

import (
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// latencyWeight is the share of a new sample in a target's mean latency: 1/8.
	latencyWeight = 8
	// failureCost is the latency, in those of a usual answer, that a failed request
	// counts as: it spends a retry of the budget that hedges draw on, too.
	failureCost = 16
	// stallFactor is the time without an end of a request, in mean latencies,
	// from which a target counts as stalled.
	stallFactor = 4
	// stallCost is the load, in requests, that a stalled target counts as having
	// on top of what is known.
	stallCost = 4
	// connectCost is the load, in requests, that a target counts as having on top
	// if a request to it needs a new connection.
	connectCost = 1
	// remoteFactor is the cost of a target in another failure domain over that
	// of one in the own.
	remoteFactor = 2
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
	info     TargetInfo
	limit    atomic.Int64
	keep     atomic.Int64
	inFlight atomic.Int64
	load     atomic.Int64
	latency  atomic.Int64
	leaving  atomic.Bool
	holds    atomic.Int64 // so far
	held     atomic.Int64 // number of the hold that is on, 0 if none is

	incarnation atomic.Pointer[string]
	pace        atomic.Pointer[rate.Limiter] // of a cold target, nil for none
	moving      atomic.Int64                 // when the requests in flight last moved on: one was sent to an idle target, or one ended
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

// SetKeep sets how many idle connections this process may keep open to it.
func (t *Target) SetKeep(n int) { t.keep.Store(int64(n)) }

// Keep is how many idle connections this process may keep open to it. A target
// of which none is kept is asked on a new connection, so that more processes
// reach it than may keep connections.
func (t *Target) Keep() int { return int(t.keep.Load()) }

// InFlight is how many requests this process has in flight at it.
func (t *Target) InFlight() int { return int(t.inFlight.Load()) }

// Hold stops new requests: the target's connection ended, so it may have
// started anew and be cold.
func (t *Target) Hold() { t.held.Store(t.holds.Add(1)) }

// Open tells whether the target may be asked at all, though it may have no room.
func (t *Target) Open() bool { return !t.leaving.Load() && t.limit.Load() > 0 }

// Held is the number of the hold that is on, 0 if none is.
func (t *Target) Held() int64 { return t.held.Load() }

// Clear ends the hold of that number; a later one stays on.
func (t *Target) Clear(hold int64) { t.held.CompareAndSwap(hold, 0) }

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
	t.latency.Store(o + (int64(d)-o)/latencyWeight)
}

// ObserveAtLeast adds a request that was given up after d: its latency would
// have been longer, by as much again for all that is known. It counts only if
// that is news.
func (t *Target) ObserveAtLeast(d time.Duration) {
	if int64(d) > t.latency.Load() {
		t.ObserveLatency(2 * d)
	}
}

// ObserveFailure adds a request that the target failed; usual is the latency of a
// good answer.
func (t *Target) ObserveFailure(usual time.Duration) { t.ObserveLatency(failureCost * usual) }

// ForgetLatency forgets all samples.
func (t *Target) ForgetLatency() { t.latency.Store(0) }

// Latency is the mean latency, 0 before the first sample.
func (t *Target) Latency() time.Duration { return time.Duration(t.latency.Load()) }

// Acquire takes room for one request, to be given back by Release.
func (t *Target) Acquire() bool {
	if t.leaving.Load() || t.held.Load() != 0 {
		return false
	}
	if t.inFlight.Add(1) > t.limit.Load() {
		t.inFlight.Add(-1)
		return false
	}
	return true
}

// due tells whether a request may come to the target at now by its pace.
func (t *Target) due(now time.Time) bool {
	p := t.pace.Load()
	return p == nil || now.IsZero() || p.TokensAt(now) >= 1
}

// acquireAt is Acquire within the target's pace.
func (t *Target) acquireAt(now time.Time) bool {
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

// Sent notes that a request was sent at now, once its room is taken.
func (t *Target) Sent(now time.Time) {
	if t.inFlight.Load() <= 1 {
		t.moving.Store(steady(now))
	}
}

// Moved notes that the target ended a request at now, of whatever outcome.
func (t *Target) Moved(now time.Time) { t.moving.Store(steady(now)) }

// Silence is how long requests have been in flight without any ending, 0 if there
// are none.
func (t *Target) Silence(now time.Time) time.Duration {
	if t.inFlight.Load() <= 0 {
		return 0
	}
	return time.Duration(steady(now) - t.moving.Load())
}

// Stalled tells whether requests are in flight of which none has ended for
// over stallFactor times the mean latency: the target pauses, or is gone.
func (t *Target) Stalled(now time.Time) bool {
	l := t.latency.Load()
	return l > 0 && int64(t.Silence(now)) > stallFactor*l
}

// room tells whether Acquire would succeed, without taking.
func (t *Target) room() bool {
	return !t.leaving.Load() && t.held.Load() == 0 && t.inFlight.Load() < t.limit.Load()
}

// idle tells whether the target has a free slot as far as is known.
func (t *Target) idle() bool {
	return t.room() && t.cost() < int64(max(t.info.Slots, 1))
}

// cost is the queue a request would meet, by reported and local load.
func (t *Target) cost() int64 { return max(t.load.Load(), t.inFlight.Load()) }

// better tells whether t is the better choice of two: by load, weighted by
// latency once both have samples, and in the failure domain named, unless that
// is empty, where the target there is as good.
func (t *Target) better(o *Target, now time.Time, domain string) bool {
	a, b := t.latency.Load(), o.latency.Load()
	if a == 0 || b == 0 {
		a, b = 1, 1
	}
	return t.weigh(a, now, domain) < o.weigh(b, now, domain)
}

func (t *Target) weigh(latency int64, now time.Time, domain string) int64 {
	c := t.cost() + 1
	if t.keep.Load() == 0 {
		c += connectCost
	}
	if !now.IsZero() && t.Stalled(now) {
		c += stallCost
	}
	if domain != "" && t.info.FailureDomain != domain {
		c *= remoteFactor
	}
	return c * latency
}
