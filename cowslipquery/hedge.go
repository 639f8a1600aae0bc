package cowslipquery

import "time"

func (c *Dispatch) hedgeDue(p *partState) (time.Time, bool) {
	h := c.options.HedgeAfter
	if h == 0 || c.options.AtMostOnce || c.crashed || c.options.ProbeFirst && !c.answered || p.inFlight == 0 || p.hedged || p.settled() || p.attempts >= c.options.MaxAttempts || c.options.MaxHedges > 0 && c.hedges >= c.options.MaxHedges {
		return time.Time{}, false
	}
	if p.hedgeRetryAt.After(p.sentAt.Add(h)) {
		return p.hedgeRetryAt, true
	}
	return p.sentAt.Add(h), true
}

func (c *Dispatch) sendHedges(now time.Time) {
	for i := range c.parts {
		p := &c.parts[i]
		t, ok := c.hedgeDue(p)
		if !ok || t.After(now) {
			continue
		}
		b := c.options.Parts[i].Service.Budget()
		if !b.Spend(now) {
			c.deniedHedges.NoBudget++
			p.hedgeRetryAt = now.Add(hedgeRetryInterval)
			continue
		}
		c.send(now, i, true)
		if !p.hedged {
			c.deniedHedges.NoSlot++
			p.hedgeRetryAt = now.Add(hedgeRetryInterval)
			b.Refund()
			continue
		}
		c.hedges++
	}
}
