package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// shedRetryDivisor is the part, 1/4, of the time left for a part after which replicas
// that refused it for load are asked again.
const shedRetryDivisor = 4

// retryShed lets replicas that refused a part for load be asked once more after a
// pause, if there is time. It tells whether the part is still open by that.
func (c *Dispatch) retryShed(now time.Time, p *partState) bool {
	if !c.options.RetryShed || len(p.shedBy) == 0 || p.sends >= c.maxSends() {
		return false
	}
	by := c.options.CloseAt
	if !c.options.SlotDeadline.IsZero() {
		by = earlier(by, c.options.SlotDeadline)
	}
	if !now.Before(by) {
		return false
	}
	p.shedRetryAt = now.Add(by.Sub(now) / shedRetryDivisor)
	p.tried = slices.DeleteFunc(p.tried, func(t *cowsliproute.Target) bool { return slices.Contains(p.shedBy, t) })
	p.shedBy = nil
	return true
}

// maxSends is how often a part is sent, over all replicas.
func (c *Dispatch) maxSends() int { return max(maxAttempts, c.options.Attempts) }
