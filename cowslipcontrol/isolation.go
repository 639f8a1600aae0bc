package cowslipcontrol

import "time"

// isolationGrace is how long the other failure domains have to answer after a cut.
// Their instances are probed in the meantime.
const isolationGrace = 300 * time.Millisecond

// Isolated reports whether this instance should receive no callers at now because
// other instances can serve them better. That is the case if no other failure domain
// with targets has answered since the first cut, and some route cannot be served by the
// targets of the own failure domain. Only an answer ends the isolation; trying targets
// again does not.
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

// PeerIsolated handles the news that an instance of the own failure domain reaches no
// other failure domain. Unless another failure domain has answered this instance within
// isolationGrace, all of them become suspect here as well. Instances that send little
// traffic would detect a cut late on their own.
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
			c.o.Event("failureDomainInDoubt", d, "an instance of the same failure domain reaches no other failure domain")
		}
	}
}

// firstSuspicion returns the earliest time since which a failure domain other than the
// own one has been suspect, or zero if none is.
func (c *Control) firstSuspicion() time.Time {
	var first time.Time
	for d, r := range c.domains {
		if d != c.o.FailureDomain && !r.suspectSince.IsZero() && (first.IsZero() || r.suspectSince.Before(first)) {
			first = r.suspectSince
		}
	}
	return first
}

// allDomainsSuspect reports whether every other failure domain with targets is suspect.
func (c *Control) allDomainsSuspect() bool {
	for i := range c.targets {
		d := c.targets[i].handle.Info().FailureDomain
		if d != c.o.FailureDomain && c.serving(&c.targets[i]) && c.ensureDomain(d).suspectSince.IsZero() {
			return false
		}
	}
	return true
}

// reachedSince reports whether a failure domain is not suspect and one of its targets
// or instances has answered since a time.
func (c *Control) reachedSince(domain string, since time.Time) bool {
	return c.ensureDomain(domain).suspectSince.IsZero() && (c.ensureDomain(domain).lastAnswer.After(since) || c.peerAnsweredSince(domain, since))
}

// peerAnsweredSince reports whether an instance of a failure domain has answered since
// a time.
func (c *Control) peerAnsweredSince(domain string, since time.Time) bool {
	for i := range c.peers {
		if p := &c.peers[i]; p.failureDomain == domain && p.lastExchange.After(since) {
			return true
		}
	}
	return false
}

// instancesIn returns the instances of a failure domain that are not leaving. It includes
// those that refused connections, since a cut can cause that as well.
func (c *Control) instancesIn(domain string) []Member {
	var l []Member
	for i := range c.peers {
		if p := &c.peers[i]; p.failureDomain == domain && !p.leaving {
			l = append(l, p.member())
		}
	}
	return l
}

// PeersToProbe returns the instances to probe, by failure domain. While a failure domain
// is suspect, these are the instances of each suspect failure domain and of any other
// that has not answered since the first cut.
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

// hasUnservedRoute reports whether some route with listed targets cannot be served by
// open targets in the own failure domain or in those reached since a time.
func (c *Control) hasUnservedRoute(since time.Time) bool {
	listed, open := map[string]bool{}, map[string]bool{}
	for i := range c.targets {
		h := c.targets[i].handle
		n, d := h.Info().Service, h.Info().FailureDomain
		listed[n] = listed[n] || c.serving(&c.targets[i])
		open[n] = open[n] || h.Available() && (d == c.o.FailureDomain || c.reachedSince(d, since))
	}
	for _, r := range c.config.Routes() {
		if g := r.Gather(); len(g) > 0 {
			if fractionOf(listed, g) >= r.MinCoverage() && fractionOf(open, g) < r.MinCoverage() {
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

// fractionOf returns the fraction of the names that are true in the set.
func fractionOf(set map[string]bool, names []string) float64 {
	n := 0
	for _, x := range names {
		if set[x] {
			n++
		}
	}
	return float64(n) / float64(len(names))
}
