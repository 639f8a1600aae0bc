package cowslipcontrol

import "time"

// pace bounds the rate of requests to a target that its entry on the platform
// calls cold, and returns the limit that this leaves. What the target bears is
// divided among half as many instances as requests a second, so that all of them may
// send one at once without passing half of it again.
func (c *Control) pace(now time.Time, t *target, sharers group, limit int) int {
	s, _ := c.config.Service(t.handle.Info().Service)
	if s.ColdRate() == 0 || !now.Before(t.coldTill) {
		t.handle.SetPace(0)
		return limit
	}
	c.due(t.coldTill)
	senders := max(min(int(s.ColdRate()/2), len(sharers.ids)), 1)
	if len(sharers.ids) == 0 || !c.chosen(t.handle.Info().ID, sharers.ids, senders) {
		return 0
	}
	t.handle.SetPace(s.ColdRate() / float64(senders))
	return min(limit, 1)
}
