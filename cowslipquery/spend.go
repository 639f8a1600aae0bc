package cowslipquery

import "time"

// parkShare is the part, 1/2, of the time until an answer may close for which a
// part waits for the retry budget. A request that fails then may still be repeated
// by its caller in time.
const parkShare = 2

// spend takes a retry from the budget of a part. Parts that the answer can do
// without leave what the budget holds in reserve to those that decide whether
// there is an answer at all.
func (c *Course) spend(now time.Time, n int, needed bool) bool {
	b := c.o.Parts[n].Service.Budget()
	if needed {
		return b.Spend(now)
	}
	return b.SpendSpare(now)
}

// needsRetry tells whether a part that failed must be sent again for the answer
// to hold enough parts.
func (c *Course) needsRetry() bool {
	return c.lacks(func(p *part) bool { return p.active == 0 && !p.waiting })
}

// needsHedge tells whether one of the parts that are late must come for the
// answer to hold enough parts.
func (c *Course) needsHedge() bool { return c.lacks(func(*part) bool { return true }) }

// lacks tells whether too few parts would be in without those that are not done
// and that f counts.
func (c *Course) lacks(f func(p *part) bool) bool {
	if c.o.Least == 0 {
		return true
	}
	n := len(c.parts)
	for i := range c.parts {
		if p := &c.parts[i]; !p.done && f(p) {
			n--
		}
	}
	return n < c.o.Least
}

// park keeps a part that failed open for a while, since the budget has no retry
// for it now. It tells whether it does.
func (c *Course) park(now time.Time, p *part) bool {
	if c.o.EnoughAt.IsZero() || !now.Before(c.parkUntil) {
		return false
	}
	p.parked = true
	return true
}

// retryParked sends parked parts again as the budget allows. It gives them up once
// their time is over, or the answer needs more of them than the budget has.
func (c *Course) retryParked(now time.Time) {
	for i := range c.parts {
		if p := &c.parts[i]; p.parked && c.spend(now, i, c.needsRetry()) {
			p.parked, p.waiting = false, true
		}
	}
	if now.Before(c.parkUntil) && !c.needsRetry() {
		return
	}
	for i := range c.parts {
		if p := &c.parts[i]; p.parked {
			p.parked, p.missing = false, true
		}
	}
}
