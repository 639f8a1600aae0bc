package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// shedRetryDivisor sets the pause before replicas that refused a part for load are
// asked again: 1/4 of the time left for the part.
const shedRetryDivisor = 4

// retryShed allows a retry, after a pause, of the replicas that refused a part for
// load. It reports whether there are such replicas and enough time and requests
// are left to ask them again.
func (d *Dispatch) retryShed(now time.Time, p *partState) bool {
	if !d.options.RetryShed || len(p.shedBy) == 0 || p.sends >= d.maxSends() {
		return false
	}
	by := d.options.CloseAt
	if !d.options.SlotDeadline.IsZero() {
		by = earlier(by, d.options.SlotDeadline)
	}
	if !now.Before(by) {
		return false
	}
	p.shedRetryAt = now.Add(by.Sub(now) / shedRetryDivisor)
	p.tried = slices.DeleteFunc(p.tried, func(t *cowsliproute.Target) bool { return slices.Contains(p.shedBy, t) })
	p.shedBy = nil
	return true
}

// maxSends returns how often a part may be sent, over all its replicas.
func (d *Dispatch) maxSends() int { return max(defaultMaxAttempts, d.options.MaxAttempts) }
