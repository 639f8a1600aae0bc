package cowsliproute

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Relay is the state that requests need of another entry instance that serves wide
// requests for this one because it has more CPU. It is safe for concurrent use.
type Relay struct {
	id, addr, domain string
	inFlight         atomic.Int64
	lastProgress     atomic.Int64 // when a request was last sent to an idle relay or ended, in monotonic nanoseconds
	avoidUntil       atomic.Int64 // no requests are sent before then, in monotonic nanoseconds; 0 if Avoid was never called
}

// NewRelay returns a relay. Domain is its failure domain.
func NewRelay(id, addr, domain string) *Relay { return &Relay{id: id, addr: addr, domain: domain} }

// ID returns the instance's ID.
func (r *Relay) ID() string { return r.id }

// Addr returns the address at which other entry instances reach it.
func (r *Relay) Addr() string { return r.addr }

// FailureDomain returns the instance's failure domain.
func (r *Relay) FailureDomain() string { return r.domain }

// RequestStarted records that a request is passed on to the relay at now.
func (r *Relay) RequestStarted(now time.Time) {
	if r.inFlight.Add(1) == 1 {
		r.lastProgress.Store(monotonicNanos(now))
	}
}

// RequestEnded records that a request passed on to the relay ended at now.
func (r *Relay) RequestEnded(now time.Time) {
	r.inFlight.Add(-1)
	r.lastProgress.Store(monotonicNanos(now))
}

// Avoid stops requests to the relay until the given time.
func (r *Relay) Avoid(until time.Time) { r.avoidUntil.Store(monotonicNanos(until)) }

// usable reports whether the relay may be asked: it is not avoided, and it has not held
// requests for longer than stallTimeout without ending any.
func (r *Relay) usable(now time.Time, stallTimeout time.Duration) bool {
	n, until := monotonicNanos(now), r.avoidUntil.Load()
	return (until == 0 || n >= until) && (r.inFlight.Load() == 0 || n-r.lastProgress.Load() <= int64(stallTimeout))
}

// PickRelay returns a random relay that may be asked at now, or nil if there is none. It
// prefers relays in this instance's failure domain. StallTimeout is how long a relay may
// hold requests without ending any.
func (v *View) PickRelay(now time.Time, stallTimeout time.Duration, r *rand.Rand) *Relay {
	var near, far *Relay
	nearSeen, farSeen := 0, 0
	for _, x := range v.relays {
		switch {
		case !x.usable(now, stallTimeout):
		case x.domain == v.domain:
			if nearSeen++; r.IntN(nearSeen) == 0 {
				near = x
			}
		default:
			if farSeen++; r.IntN(farSeen) == 0 {
				far = x
			}
		}
	}
	if near != nil {
		return near
	}
	return far
}
