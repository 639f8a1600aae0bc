package cowsliproute

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// Relay is the routing state of another entry instance, which serves wide requests,
// those to many shards, for this one because it has more CPU. It is safe for concurrent
// use.
type Relay struct {
	id, addr, domain string
	inFlight         atomic.Int64
	lastProgress     atomic.Int64 // when a request last ended, or was sent while none was in flight; in monotonic nanoseconds
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

// Reasons why a relay is not asked.
const (
	relayAvoided = "avoided" // it has not accepted a request, or not answered one
	relayStalled = "stalled"
)

// RuledOut returns why the relay may not be asked, empty if it may: it is avoided, or it has held
// requests for longer than stallTimeout without ending any.
func (r *Relay) RuledOut(now time.Time, stallTimeout time.Duration) string {
	n, until := monotonicNanos(now), r.avoidUntil.Load()
	switch {
	case until != 0 && n < until:
		return relayAvoided
	case r.inFlight.Load() != 0 && n-r.lastProgress.Load() > int64(stallTimeout):
		return relayStalled
	}
	return ""
}

// InFlight returns how many requests this process has passed on to the relay that have not ended.
func (r *Relay) InFlight() int { return int(r.inFlight.Load()) }

// Relays returns the instances that serve wide requests for this one. The caller must not change
// the slice.
func (v *View) Relays() []*Relay { return v.relays }

// PickRelay returns a random relay that may be asked at now, or nil if there is none. It
// prefers relays in this instance's failure domain. StallTimeout is how long a relay may
// hold requests without ending any.
func (v *View) PickRelay(now time.Time, stallTimeout time.Duration, r *rand.Rand) *Relay {
	var near, far *Relay
	nearSeen, farSeen := 0, 0
	for _, x := range v.relays {
		switch {
		case x.RuledOut(now, stallTimeout) != "":
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
