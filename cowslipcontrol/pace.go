package cowslipcontrol

import "time"

// paceLimit bounds the rate of requests to a target that its entry on the platform
// marks as cold, and returns the resulting in-flight limit. The target's cold rate is
// divided among at most half as many instances as it allows requests per second. If all
// of them send a request at the same moment, they exceed the rate by at most half.
func (c *Control) paceLimit(now time.Time, t *target, sharers senderGroup, limit int) int {
	s, _ := c.config.Service(t.handle.Info().Service)
	if s.ColdRate() == 0 || !now.Before(t.coldUntil) {
		t.handle.SetPace(0)
		return limit
	}
	c.scheduleLimits(t.coldUntil)
	senders := max(min(int(s.ColdRate()/2), len(sharers.ids)), 1)
	if len(sharers.ids) == 0 || !c.amongFirst(t.handle.Info().ID, sharers.ids, senders) {
		return 0
	}
	t.handle.SetPace(s.ColdRate() / float64(senders))
	return min(limit, 1)
}
