package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// shedRetryDivisor sets the pause before replicas that refused a part for load are
// asked again: 1/4 of the time left for the part.
const shedRetryDivisor = 4

// retryShed makes the replicas that refused a part for load available to it again
// after a pause, except those that take nothing in the time left. It reports whether there
// are any, and whether the time left and maxSends allow another request.
func (d *Dispatch) retryShed(now time.Time, p *partState) bool {
	if !d.options.RetryShed || len(p.shedBy) == 0 || p.sends >= d.maxSends() {
		return false
	}
	by := d.options.CloseAt
	if !d.options.CapacityDeadline.IsZero() {
		by = earlier(by, d.options.CapacityDeadline)
	}
	if !now.Before(by) {
		return false
	}
	p.shedBy = slices.DeleteFunc(p.shedBy, func(t *cowsliproute.Target) bool { return now.Add(t.SendDelay(now)).After(by) })
	if len(p.shedBy) == 0 {
		return false
	}
	p.shedRetryAt = now.Add(by.Sub(now) / shedRetryDivisor)
	p.tried = slices.DeleteFunc(p.tried, func(t *cowsliproute.Target) bool { return slices.Contains(p.shedBy, t) })
	p.shedBy = nil
	return true
}

// maxSends returns how often a part may be sent, over all its replicas. Unlike
// MaxAttempts, it also counts requests known not to have run.
func (d *Dispatch) maxSends() int { return max(defaultMaxAttempts, d.options.MaxAttempts) }
