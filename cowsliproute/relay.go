package cowsliproute

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Relay is the traffic side of an entry instance that serves wide requests for
// this one, since it has more processor. It is safe for concurrent use.
type Relay struct {
	id, addr, domain string
	inFlight         atomic.Int64
	lastProgress     atomic.Int64 // when the requests in flight last moved on, on the steady clock
	avoidUntil       atomic.Int64 // until when it gets none, on the steady clock; 0 if it was never avoided
}

// NewRelay makes a relay. Domain is its failure domain.
func NewRelay(id, addr, domain string) *Relay { return &Relay{id: id, addr: addr, domain: domain} }

// ID is the instance's own.
func (r *Relay) ID() string { return r.id }

// Addr is where other entry instances reach it.
func (r *Relay) Addr() string { return r.addr }

// FailureDomain is the instance's own.
func (r *Relay) FailureDomain() string { return r.domain }

// RequestStarted notes that a request is passed on at now.
func (r *Relay) RequestStarted(now time.Time) {
	if r.inFlight.Add(1) == 1 {
		r.lastProgress.Store(monotonicNanos(now))
	}
}

// RequestEnded notes that a request passed on has ended at now.
func (r *Relay) RequestEnded(now time.Time) {
	r.inFlight.Add(-1)
	r.lastProgress.Store(monotonicNanos(now))
}

// Avoid keeps requests away until a time.
func (r *Relay) Avoid(until time.Time) { r.avoidUntil.Store(monotonicNanos(until)) }

// usable tells whether the relay may be asked: it is not avoided, and does not
// keep requests for longer than patience without ending any.
func (r *Relay) usable(now time.Time, patience time.Duration) bool {
	n, until := monotonicNanos(now), r.avoidUntil.Load()
	return (until == 0 || n >= until) && (r.inFlight.Load() == 0 || n-r.lastProgress.Load() <= int64(patience))
}

// PickRelay chooses at random a relay that may be asked at now, of the view's own
// failure domain if there is one; nil if there is none at all. Patience is how
// long a relay may keep requests without ending any.
func (v *View) PickRelay(now time.Time, patience time.Duration, r *rand.Rand) *Relay {
	var near, far *Relay
	nearSeen, farSeen := 0, 0
	for _, x := range v.relays {
		switch {
		case !x.usable(now, patience):
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
