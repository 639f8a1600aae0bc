package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// againShare is the part, 1/4, of the time left for a part after which replicas
// that refused it for load are asked again.
const againShare = 4

// askAgain lets replicas that refused a part for load be asked once more after a
// pause, if there is time. It tells whether the part is still open by that.
func (c *Course) askAgain(now time.Time, p *part) bool {
	if !c.o.AskAgain || len(p.shed) == 0 || p.sends >= c.maxSends() {
		return false
	}
	by := c.o.CloseAt
	if !c.o.RoomBy.IsZero() {
		by = earlier(by, c.o.RoomBy)
	}
	if !now.Before(by) {
		return false
	}
	p.again = now.Add(by.Sub(now) / againShare)
	p.tried = slices.DeleteFunc(p.tried, func(t *cowsliproute.Target) bool { return slices.Contains(p.shed, t) })
	p.shed = nil
	return true
}

// maxSends is how often a part is sent, over all replicas.
func (c *Course) maxSends() int { return max(maxAttempts, c.o.Attempts) }
