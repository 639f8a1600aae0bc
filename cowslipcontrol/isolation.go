package cowslipcontrol

import "time"

// isolationGrace is how long after a cut the other failure domains have to answer;
// their instances are asked meanwhile.
const isolationGrace = 300 * time.Millisecond

// Isolated tells whether this instance should get no callers at now, since others
// can serve them better: no other failure domain with targets is known to be reached
// since one was cut off, and there are routes that the own targets cannot serve. That
// targets are tried again does not end it, an answer does.
func (c *Control) Isolated(now time.Time) bool {
	first := c.firstDoubt()
	if first.IsZero() || now.Sub(first) < isolationGrace && !c.allDoubted() {
		return false
	}
	others := false
	for i := range c.targets {
		if t := &c.targets[i]; c.serving(t) && t.handle.Info().FailureDomain != c.o.FailureDomain {
			if c.known(t.handle.Info().FailureDomain, first) {
				return false
			}
			others = true
		}
	}
	return others && c.unserved(first)
}

// NeighbourIsolated handles an instance of the own failure domain that reaches no
// other one: unless one of them has answered this instance lately, all are in doubt
// here, too. Instances that send little themselves would find a cut out late.
func (c *Control) NeighbourIsolated(now time.Time) {
	lately := now.Add(-isolationGrace)
	others := map[string]bool{}
	for i := range c.targets {
		if d := c.targets[i].handle.Info().FailureDomain; d != c.o.FailureDomain && c.serving(&c.targets[i]) {
			others[d] = true
		}
	}
	for d := range others {
		if c.known(d, lately) {
			return
		}
	}
	for d := range others {
		if r := c.reachOf(d); r.doubt.IsZero() {
			r.doubt = now
			c.o.Event("failureDomainInDoubt", d, "an instance beside this one reaches no other failure domain")
		}
	}
}

// firstDoubt is when the earliest cut began that nobody behind it has ended by an
// answer, zero if there is none.
func (c *Control) firstDoubt() time.Time {
	var first time.Time
	for d, r := range c.reaches {
		if d != c.o.FailureDomain && !r.doubt.IsZero() && (first.IsZero() || r.doubt.Before(first)) {
			first = r.doubt
		}
	}
	return first
}

// allDoubted tells whether every other failure domain with targets is behind a cut.
func (c *Control) allDoubted() bool {
	for i := range c.targets {
		d := c.targets[i].handle.Info().FailureDomain
		if d != c.o.FailureDomain && c.serving(&c.targets[i]) && c.reachOf(d).doubt.IsZero() {
			return false
		}
	}
	return true
}

// known tells whether a failure domain is reached for all that is known since a time.
func (c *Control) known(domain string, since time.Time) bool {
	return c.reachOf(domain).doubt.IsZero() && (c.reachOf(domain).answered.After(since) || c.heardFromDomain(domain, since))
}

// heardFromDomain tells whether an instance of a failure domain has answered since a
// time.
func (c *Control) heardFromDomain(domain string, since time.Time) bool {
	for i := range c.peers {
		if p := &c.peers[i]; p.failureDomain == domain && p.answered.After(since) {
			return true
		}
	}
	return false
}

// instancesIn lists the instances of a failure domain, also those that refused
// connections: a cut may do that, too.
func (c *Control) instancesIn(domain string) []Member {
	var l []Member
	for i := range c.peers {
		if p := &c.peers[i]; p.failureDomain == domain && !p.leaving {
			l = append(l, p.member())
		}
	}
	return l
}

// Doubted lists the instances to ask for a sign, by failure domain: of those that
// count as cut off, and of others that have not answered since the first cut.
func (c *Control) Doubted() map[string][]Member {
	m := map[string][]Member{}
	first := c.firstDoubt()
	if first.IsZero() {
		return m
	}
	for i := range c.peers {
		d := c.peers[i].failureDomain
		if m[d] == nil && d != c.o.FailureDomain && !c.known(d, first) {
			m[d] = c.instancesIn(d)
		}
	}
	return m
}

// unserved tells whether a route that targets are listed for cannot be served by
// those that may be asked and are known to be reached since a time.
func (c *Control) unserved(since time.Time) bool {
	listed, open := map[string]bool{}, map[string]bool{}
	for i := range c.targets {
		h := c.targets[i].handle
		n, d := h.Info().Service, h.Info().FailureDomain
		listed[n] = listed[n] || c.serving(&c.targets[i])
		open[n] = open[n] || h.Available() && (d == c.o.FailureDomain || c.known(d, since))
	}
	for _, r := range c.config.Routes() {
		if g := r.Gather(); len(g) > 0 {
			if shareOf(listed, g) >= r.MinCoverage() && shareOf(open, g) < r.MinCoverage() {
				return true
			}
			continue
		}
		for _, s := range r.Split() {
			if s.Weight() > 0 && listed[s.Service()] && !open[s.Service()] {
				return true
			}
		}
	}
	return false
}

// shareOf is the part of the names that is set.
func shareOf(set map[string]bool, names []string) float64 {
	n := 0
	for _, x := range names {
		if set[x] {
			n++
		}
	}
	return float64(n) / float64(len(names))
}
