package cowslipcontrol

import "time"

// paceBurstTime is the time whose part of a target's request limit may be sent at once.
const paceBurstTime = 250 * time.Millisecond

// maxPaceBurst bounds the requests that are sent at once, whatever limit a target states.
const maxPaceBurst = 1000

// paceLimit bounds the rate of requests to a target that its entry on the platform marks
// as cold, or that states a request limit, and returns the resulting in-flight limit.
func (c *Control) paceLimit(now time.Time, t *target, sharers, all senderGroup, limit int) int {
	rate, burst := 0.0, 1
	if n, ok := c.limitShare(now, t, sharers, all); ok {
		if n == 0 {
			return 0
		}
		rate, burst = n, int(min(n*paceBurstTime.Seconds(), maxPaceBurst))
	}
	if n, ok := c.coldRateShare(now, t, sharers); ok {
		if n == 0 {
			return 0
		}
		limit = min(limit, 1)
		if rate == 0 || n < rate {
			rate, burst = n, 1
		}
	}
	t.handle.SetPace(now, rate, burst)
	return limit
}

// coldRateShare returns this instance's part of the rate that a cold target bears, or false
// if there is no such rate. The rate is divided among at most half as many instances as it
// allows requests per second, so that they exceed it by at most half if all of them send a
// request at the same moment.
func (c *Control) coldRateShare(now time.Time, t *target, sharers senderGroup) (float64, bool) {
	s, _ := c.config.Service(t.handle.Info().Service)
	if s.ColdRate() == 0 || !now.Before(t.coldUntil) {
		return 0, false
	}
	c.scheduleLimits(t.coldUntil)
	senders := max(min(int(s.ColdRate()/2), len(sharers.ids)), 1)
	if len(sharers.ids) == 0 || !c.amongFirst(t.handle.Info().ID, sharers.ids, senders) {
		return 0, true
	}
	return s.ColdRate() / float64(senders), true
}
