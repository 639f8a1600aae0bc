package cowslipcontrol

import (
	"fmt"

	"cowslipflow/cowsliptarget"
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
	i := t.handle.Info()
	switch {
	case limit == 0:
		c.o.Event("targetUnlimited", i.ID, "service "+i.Service)
	case t.requestLimit == 0:
		c.o.Event("targetLimited", i.ID, fmt.Sprintf("service %s takes %g requests per second from all instances", i.Service, limit))
	}
	t.requestLimit = limit
	c.limitsDirty = true
}
