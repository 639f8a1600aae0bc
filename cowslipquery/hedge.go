package cowslipquery

import "time"

func (c *Course) hedgeAt(p *part) (time.Time, bool) {
	h := c.o.HedgeAfter
	if h == 0 || c.o.Once || c.crashed || c.o.Single && !c.proven || p.active == 0 || p.hedged || p.settled() || p.attempts >= c.o.Attempts || c.o.MaxHedges > 0 && c.hedges >= c.o.MaxHedges {
		return time.Time{}, false
	}
	if p.hedgeAgain.After(p.sentAt.Add(h)) {
		return p.hedgeAgain, true
	}
	return p.sentAt.Add(h), true
}

func (c *Course) hedge(now time.Time) {
	for i := range c.parts {
		p := &c.parts[i]
		t, ok := c.hedgeAt(p)
		if !ok || t.After(now) {
			continue
		}
		b := c.o.Parts[i].Service.Budget()
		if !b.Spend(now) {
			c.denied.Budget++
			p.hedgeAgain = now.Add(hedgePause)
			continue
		}
		c.send(now, i, true)
		if !p.hedged {
			c.denied.Room++
			p.hedgeAgain = now.Add(hedgePause)
			b.Refund()
			continue
		}
		c.hedges++
	}
}
