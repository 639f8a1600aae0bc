package cowslipquery

import (
	"slices"
	"strconv"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// pin starts the parts of a snapshot afresh; nothing of another one is kept.
func (q *Query) pin(n int) {
	q.cancelActive(func(attempt) bool { return true })
	q.gen++
	q.snapshot = n
	q.parts = nil
	s := q.o.Service.Snapshots()
	if n >= len(s) {
		return
	}
	q.parts = make([]part, len(s[n].Parts))
	for i, p := range s[n].Parts {
		q.parts[i] = part{lo: p.Lo, hi: p.Hi, replicas: p.Replicas, waiting: true}
	}
	q.needed = len(q.parts)
}

// dispatch sends what waits for room and closes the query once all parts are
// settled.
func (q *Query) dispatch(now time.Time) {
	open := 0
	for i := range q.parts {
		p := &q.parts[i]
		if p.waiting && !p.settled() && !(q.o.Single && !q.proven && (i > 0 || p.attempts > 0)) {
			q.send(now, i, false)
		}
		if !p.settled() {
			open++
		}
	}
	if q.o.Single && !q.proven && len(q.parts) > 0 && q.parts[0].missing {
		open = 0
	}
	if open == 0 {
		q.close()
	}
}

// send asks a replica for a part, or leaves it waiting for room. A part that
// no replica can answer is missing.
func (q *Query) send(now time.Time, n int, hedge bool) {
	p := &q.parts[n]
	if q.crashed && p.attempts > 0 {
		p.waiting = false
		p.missing = p.active == 0
		return
	}
	scope := q.o.View.Scope(now)
	if scope == cowsliproute.ScopeNone {
		return
	}
	own := scope == cowsliproute.ScopeOwn
	q.ownOnly = q.ownOnly || own
	t := q.pick(p, own, hedge)
	if t == nil {
		if hedge {
			return
		}
		if !q.reachable(p, own) {
			p.waiting = false
			p.missing = p.active == 0
			q.restart(now, p)
		}
		return
	}
	p.waiting = false
	p.hedged = p.hedged || hedge
	p.active++
	p.attempts++
	p.sentAt = now
	p.tried = append(p.tried, t)
	q.sent++
	id := len(q.attempts)
	q.attempts = append(q.attempts, attempt{part: n, gen: q.gen, target: t})
	left := q.closeAt.Sub(now)
	q.actions = append(q.actions, Action{Attempt: id, Target: t, Timeout: left, Search: cowsliptarget.Search{
		ID: q.o.ID + "." + strconv.Itoa(id), Service: q.o.Service.Name(), Route: q.o.Route,
		IndexVersion: q.o.Service.Snapshots()[q.snapshot].IndexVersion, Lo: p.lo, Hi: p.hi,
		Query: q.o.Text, DeadlineMillis: max(left.Milliseconds(), 1),
	}})
}

func (q *Query) pick(p *part, own, idle bool) *cowsliproute.Target {
	for _, v := range q.versions() {
		o := cowsliproute.PickOptions{Version: v, Own: own, Idle: idle, Except: p.tried}
		if t := q.o.View.Pick(p.replicas, o, q.o.Rand); t != nil {
			return t
		}
	}
	return nil
}

func (q *Query) versions() []string {
	if q.o.Fallback == "" {
		return []string{q.o.Prefer}
	}
	return []string{q.o.Prefer, q.o.Fallback}
}

// reachable tells whether waiting can bring an answer: some replica not tried
// yet may be asked, though it has no room now.
func (q *Query) reachable(p *part, own bool) bool {
	if p.attempts >= maxAttempts {
		return false
	}
	for _, v := range q.versions() {
		if hasUntried(q.o.View, p, v, own) {
			return true
		}
	}
	return false
}

func hasUntried(v *cowsliproute.View, p *part, version string, own bool) bool {
	for _, t := range p.replicas {
		i := t.Info()
		if version != "" && i.Version != version || own && i.FailureDomain != v.FailureDomain() || t.Leaving() {
			continue
		}
		if !slices.Contains(p.tried, t) {
			return true
		}
	}
	return false
}

// handle decides what follows an attempt of an open part.
func (q *Query) handle(now time.Time, p *part, a *attempt, r Reply) {
	free := false
	switch r.Outcome {
	case cowsliptarget.OK:
		p.done = true
		p.waiting = false
		p.items = r.Reply.Items
		q.proven = true
		q.o.Service.Budget().Earn(q.o.Service.Config().ExtraLoad())
		n := a.part
		q.cancelActive(func(x attempt) bool { return x.part == n })
		return
	case cowsliptarget.NotSent, cowsliptarget.Leaving:
		free = true
	case cowsliptarget.WrongVersion:
		free = true
		p.wrong = true
	case cowsliptarget.Shed, cowsliptarget.Expired:
		q.shed++
	}
	if q.o.Fallback != "" && a.target.Info().Version == q.o.Prefer {
		// Few requests prefer a version that is not proven yet; their parts are
		// owed an answer by the one that is.
		free = true
	}
	if p.active > 0 {
		return
	}
	if q.crashed && !r.Outcome.NotRun() {
		p.missing = true
		return
	}
	if !q.reachable(p, q.o.View.Scope(now) == cowsliproute.ScopeOwn) {
		p.missing = true
		q.restart(now, p)
		return
	}
	if !free && !q.o.Service.Budget().Spend() {
		p.missing = true
		return
	}
	p.waiting = true
}

// restart gives up the pinned snapshot if a part is missing because its
// replicas no longer hold it, and time allows: for another one of the view that
// is whole, else for a newer view, else for what there is.
func (q *Query) restart(now time.Time, p *part) {
	if !p.wrong || q.crashed || q.closeAt.Sub(now) < q.closeAt.Sub(q.o.Start)/restartShare {
		return
	}
	s := q.o.Service.Snapshots()
	n := q.snapshot + 1
	more := n < min(len(s), maxSnapshots)
	switch {
	case more && (q.o.Last || whole(s[n])):
		q.pin(n)
	case !q.o.Last:
		q.stale = true
		q.close()
	}
}

// whole tells whether a snapshot covers the key space.
func whole(s cowsliproute.Snapshot) bool {
	var n uint32
	for _, p := range s.Parts {
		n += p.Hi - p.Lo
	}
	return n == cowsliptarget.KeySpace
}

func (q *Query) close() {
	if q.closed {
		return
	}
	q.closed = true
	for i := range q.parts {
		if !q.parts[i].settled() {
			q.late++
		}
	}
	q.cancelActive(func(attempt) bool { return true })
}

func (q *Query) cancelActive(match func(attempt) bool) {
	for i := range q.attempts {
		a := &q.attempts[i]
		if a.ended || a.gen != q.gen || !match(*a) {
			continue
		}
		q.actions = append(q.actions, Action{Attempt: i})
	}
}
