package cowslipcontrol

import (
	"fmt"
	"math"
	"time"

	"cowslipflow/cowsliptarget"
)

const (
	// limitTTL is how long a target's request limit applies after a response last stated
	// it, or up to twice as long. An instance that has no part of the limit sends nothing
	// and cannot see its end; it finds out by a request, each at another time.
	limitTTL = 30 * time.Second
	// sendersPerRequest is how many instances at most share each request per second of a
	// limit, so that those that have saved up one each do not exceed it together.
	sendersPerRequest = 2
)

// observeRequestLimit handles the request limit that a target's response states, or its
// absence, which ends the limit. The response to a request that was sent before the target
// last stated the limit does not end it.
func (c *Control) observeRequestLimit(t *target, s Sample) {
	switch s.Outcome {
	case cowsliptarget.OK, cowsliptarget.Failed, cowsliptarget.Shed, cowsliptarget.Expired:
	default:
		return
	}
	limit := s.Report.RequestLimit
	switch {
	case limit > 0:
		t.limitStatedAt = s.At
	case t.requestLimit == 0 || s.At.Add(-s.Latency).Before(t.limitStatedAt):
		return
	}
	if limit == t.requestLimit {
		return
	}
	c.limitsDirty = true
	if limit == 0 {
		c.endRequestLimit(t)
		return
	}
	if t.requestLimit == 0 {
		i := t.handle.Info()
		c.o.Event("targetLimited", i.ID, fmt.Sprintf("service %s takes %g requests per second from all instances", i.Service, limit))
	}
	t.requestLimit = limit
}

// limitShare returns this instance's part of the request limit that a target states, or
// false if there is no limit. Where some instances pass wide requests on, these have only
// relayReserveShare of the limits of shards, for use while they reach no relay.
func (c *Control) limitShare(now time.Time, t *target, sharers, all senderGroup) (float64, bool) {
	if t.requestLimit == 0 {
		return 0, false
	}
	id := t.handle.Info().ID
	until := t.limitStatedAt.Add(time.Duration((1 + float64(rendezvousScore(id, c.o.ID))/math.MaxUint64) * float64(limitTTL)))
	if !now.Before(until) {
		c.endRequestLimit(t)
		return 0, false
	}
	c.scheduleLimits(until)
	limit, group := t.requestLimit, sharers
	if len(all.ids) > len(sharers.ids) {
		limit *= 1 - relayReserveShare
		if len(sharers.ids) == 0 {
			limit, group = t.requestLimit*relayReserveShare, c.relayingSenders()
		}
	}
	senders := max(int(min(limit*sendersPerRequest, float64(len(group.ids)))), 1)
	if senders < len(group.ids) && !c.inSubset(t, senders, group) {
		return 0, true
	}
	return limit / float64(senders), true
}

func (c *Control) endRequestLimit(t *target) {
	t.requestLimit = 0
	c.o.Event("targetUnlimited", t.handle.Info().ID, "service "+t.handle.Info().Service)
}
