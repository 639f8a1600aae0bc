package cowslipquery

import "time"

// hedgeDue returns when a hedge of part n is due, or false if the part must not be
// hedged in its present state.
func (d *Dispatch) hedgeDue(n int) (time.Time, bool) {
	p, h := &d.parts[n], d.options.HedgeAfter
	if h == 0 || d.options.AtMostOnce || d.crashed || d.probing() || d.lossUnexplained() || p.inFlight == 0 || p.hedged || p.settled() || p.attempts >= d.maxAttempts(n) || d.options.MaxHedges > 0 && d.hedges >= d.options.MaxHedges {
		return time.Time{}, false
	}
	if p.hedgeRetryAt.After(p.sentAt.Add(h)) {
		return p.hedgeRetryAt, true
	}
	return p.sentAt.Add(h), true
}

// sendHedges sends the hedges that are due, as far as the budget and the free slots of
// the replicas allow.
func (d *Dispatch) sendHedges(now time.Time) {
	d.hedgeProbe(now)
	for i := range d.parts {
		p := &d.parts[i]
		t, ok := d.hedgeDue(i)
		if !ok || t.After(now) {
			continue
		}
		b := d.options.Parts[i].Service.Budget()
		if !b.Spend(now) {
			d.deniedHedges.NoBudget++
			p.hedgeRetryAt = now.Add(hedgeRetryInterval)
			continue
		}
		d.send(now, i, true)
		if !p.hedged {
			d.deniedHedges.NoSlot++
			p.hedgeRetryAt = now.Add(hedgeRetryInterval)
			b.Refund()
			continue
		}
		d.hedges++
	}
}
