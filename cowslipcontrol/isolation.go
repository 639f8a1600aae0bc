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
	first := c.firstSuspicion()
	if first.IsZero() || now.Sub(first) < isolationGrace && !c.allDomainsSuspect() {
		return false
	}
	others := false
	for i := range c.targets {
		if t := &c.targets[i]; c.serving(t) && t.handle.Info().FailureDomain != c.o.FailureDomain {
			if c.reachedSince(t.handle.Info().FailureDomain, first) {
				return false
			}
			others = true
		}
	}
	return others && c.hasUnservedRoute(first)
}

// PeerIsolated handles an instance of the own failure domain that reaches no
// other one: unless one of them has answered this instance lately, all are in doubt
// here, too. Instances that send little themselves would find a cut out late.
func (c *Control) PeerIsolated(now time.Time) {
	lately := now.Add(-isolationGrace)
	others := map[string]bool{}
	for i := range c.targets {
		if d := c.targets[i].handle.Info().FailureDomain; d != c.o.FailureDomain && c.serving(&c.targets[i]) {
			others[d] = true
		}
	}
	for d := range others {
		if c.reachedSince(d, lately) {
			return
		}
	}
	for d := range others {
		if r := c.ensureDomain(d); r.suspectSince.IsZero() {
			r.suspectSince = now
			c.o.Event("failureDomainInDoubt", d, "an instance beside this one reaches no other failure domain")
		}
	}
}

// firstSuspicion is when the earliest cut began that nobody behind it has ended by an
// answer, zero if there is none.
func (c *Control) firstSuspicion() time.Time {
	var first time.Time
	for d, r := range c.domains {
		if d != c.o.FailureDomain && !r.suspectSince.IsZero() && (first.IsZero() || r.suspectSince.Before(first)) {
			first = r.suspectSince
		}
	}
	return first
}

// allDomainsSuspect tells whether every other failure domain with targets is behind a cut.
func (c *Control) allDomainsSuspect() bool {
	for i := range c.targets {
		d := c.targets[i].handle.Info().FailureDomain
		if d != c.o.FailureDomain && c.serving(&c.targets[i]) && c.ensureDomain(d).suspectSince.IsZero() {
			return false
		}
	}
	return true
}

// reachedSince tells whether a failure domain is reached for all that is known since a time.
func (c *Control) reachedSince(domain string, since time.Time) bool {
	return c.ensureDomain(domain).suspectSince.IsZero() && (c.ensureDomain(domain).lastAnswer.After(since) || c.peerAnsweredSince(domain, since))
}

// peerAnsweredSince tells whether an instance of a failure domain has answered since a
// time.
func (c *Control) peerAnsweredSince(domain string, since time.Time) bool {
	for i := range c.peers {
		if p := &c.peers[i]; p.failureDomain == domain && p.lastExchange.After(since) {
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

// PeersToProbe lists the instances to ask for a sign, by failure domain: of those that
// count as cut off, and of others that have not answered since the first cut.
func (c *Control) PeersToProbe() map[string][]Member {
	m := map[string][]Member{}
	first := c.firstSuspicion()
	if first.IsZero() {
		return m
	}
	for i := range c.peers {
		d := c.peers[i].failureDomain
		if m[d] == nil && d != c.o.FailureDomain && !c.reachedSince(d, first) {
			m[d] = c.instancesIn(d)
		}
	}
	return m
}

// hasUnservedRoute tells whether a route that targets are listed for cannot be served by
// those that may be asked and are known to be reached since a time.
func (c *Control) hasUnservedRoute(since time.Time) bool {
	listed, open := map[string]bool{}, map[string]bool{}
	for i := range c.targets {
		h := c.targets[i].handle
		n, d := h.Info().Service, h.Info().FailureDomain
		listed[n] = listed[n] || c.serving(&c.targets[i])
		open[n] = open[n] || h.Open() && (d == c.o.FailureDomain || c.reachedSince(d, since))
	}
	for _, r := range c.config.Routes() {
		if g := r.Gather(); len(g) > 0 {
			if shareOf(listed, g) >= r.Least() && shareOf(open, g) < r.Least() {
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
