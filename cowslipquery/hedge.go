package cowslipquery

import "time"

func (q *Query) hedgeAt(p *part) (time.Time, bool) {
	h := q.o.Service.HedgeAfter()
	if h == 0 || q.o.NoHedge || q.crashed || q.o.Single && !q.proven || p.active == 0 || p.hedged || p.settled() {
		return time.Time{}, false
	}
	if p.hedgeAgain.After(p.sentAt.Add(h)) {
		return p.hedgeAgain, true
	}
	return p.sentAt.Add(h), true
}

func (q *Query) hedge(now time.Time) {
	for i := range q.parts {
		p := &q.parts[i]
		t, ok := q.hedgeAt(p)
		if !ok || t.After(now) {
			continue
		}
		if !q.o.Service.Budget().Spend() {
			p.hedgeAgain = now.Add(hedgePause)
			continue
		}
		q.send(now, i, true)
		if !p.hedged {
			p.hedgeAgain = now.Add(hedgePause)
			q.o.Service.Budget().Refund()
		}
	}
}
