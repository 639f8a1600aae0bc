package cowslipcontrol

import (
	"fmt"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliptarget"
)

// Thresholds of a fault. A version is at fault on a route if, in one failure
// domain, its share of failures, or of answers slower than the old version's
// slowQuantile, is over the floor and over the ratio of the old version's.
const (
	minErrors     = 3
	errorFloor    = 0.02
	errorRatio    = 3
	minSlow       = 8
	slowFloor     = 0.25
	slowRatio     = 3
	crashesFault  = 3 // different requests that crashed the new version
	windowStep    = time.Second
	windowCount   = 10
	minSlowBound  = 5 * time.Millisecond
	slowBoundBase = 2 // an answer is slow from this multiple of the old version's quantile
	maxRoutes     = 64
)

type evidenceKey struct {
	move, version, route, domain string
}

type counts struct {
	requests, errors, slow uint64
}

func (a counts) plus(b counts) counts {
	return counts{a.requests + b.requests, a.errors + b.errors, a.slow + b.slow}
}

func (a counts) minus(b counts) counts {
	if b.requests > a.requests || b.errors > a.errors || b.slow > a.slow {
		return a // a peer that started anew counts from zero
	}
	return counts{a.requests - b.requests, a.errors - b.errors, a.slow - b.slow}
}

// window is the pooled evidence at one time.
type window struct {
	at     time.Time
	pooled map[evidenceKey]counts
}

// observeMove counts a request as evidence of the move of its service. A
// request that crashed its target counts only through the table of crashes,
// and one that did not run says nothing of the version.
func (c *Control) observeMove(s Sample) {
	i := s.Target.Info()
	for n := range c.moves {
		m := &c.moves[n]
		if m.config.Service() != i.Service || i.Version != m.config.To() && i.Version != m.config.From() {
			continue
		}
		if s.Crashed || s.Outcome.NotRun() && s.Outcome != cowsliptarget.NotSent || s.Outcome == cowsliptarget.Cancelled && !s.TimedOut {
			return
		}
		k := evidenceKey{m.config.ID(), i.Version, s.Route, i.FailureDomain}
		if _, ok := m.own[k]; !ok && len(m.own) >= 4*maxRoutes {
			return
		}
		x := m.own[k]
		x.requests++
		if s.Outcome != cowsliptarget.OK {
			x.errors++
		}
		if b := c.slowBound(i.Service, s.Route); s.Outcome == cowsliptarget.OK && b > 0 && s.Latency > b {
			x.slow++
		}
		m.own[k] = x
		m.route(s.Route)
		return
	}
}

// slowBound is the latency from which an answer counts as slow; 0 if unknown.
func (c *Control) slowBound(name, route string) time.Duration {
	l := c.services[name].routes[route]
	if l == nil {
		return 0
	}
	q := l.quantile(slowQuantile)
	if q == 0 {
		return 0
	}
	return max(slowBoundBase*q, minSlowBound)
}

// pooled adds up the evidence of all instances.
func (c *Control) pooled(m *move) map[evidenceKey]counts {
	p := make(map[evidenceKey]counts, len(m.own))
	for k, x := range m.own {
		p[k] = x
	}
	if c.o.NoPool {
		return p
	}
	for i := range c.peers {
		for k, x := range c.peers[i].evidence {
			if k.move == m.config.ID() {
				p[k] = p[k].plus(x)
			}
		}
	}
	return p
}

func (c *Control) pooledByRoute(m *move, version string) map[string]counts {
	r := map[string]counts{}
	for k, x := range c.pooled(m) {
		if k.version == version {
			r[k.route] = r[k.route].plus(x)
		}
		m.route(k.route)
	}
	return r
}

// gather keeps the pooled evidence of the last seconds, so that a late fault
// is not hidden by earlier success.
func (c *Control) gather(now time.Time, m *move) {
	if n := len(m.windows); n > 0 && now.Sub(m.windows[n-1].at) < windowStep {
		return
	}
	m.windows = append(m.windows, window{at: now, pooled: c.pooled(m)})
	if len(m.windows) > windowCount {
		m.windows = m.windows[1:]
	}
}

// fault says what is wrong with a move's new version, empty if nothing.
func (c *Control) fault(m *move) string {
	if n := c.crashedBy(m); n >= crashesFault {
		return fmt.Sprintf("%d different requests crashed version %s", n, m.config.To())
	}
	all := c.pooled(m)
	for k, x := range all {
		if k.version != m.config.To() {
			continue
		}
		o := k
		o.version = m.config.From()
		recent := x
		before := all[o]
		if len(m.windows) > 0 {
			w := m.windows[0].pooled
			recent = x.minus(w[k])
			if b := before.minus(w[o]); b.requests > 0 {
				before = b
			}
		}
		if r := compare(k, recent, before); r != "" {
			return r
		}
		if r := compare(k, x, all[o]); r != "" {
			return r
		}
	}
	return ""
}

// compare holds the new version's counts against the old one's.
func compare(k evidenceKey, a, b counts) string {
	if a.errors >= minErrors && exceeds(a.errors, a.requests, b.errors, b.requests, errorFloor, errorRatio) {
		return describe("failures", k.route, k.domain, a, b, a.errors, b.errors)
	}
	if a.slow >= minSlow && exceeds(a.slow, a.requests, b.slow, b.requests, slowFloor, slowRatio) {
		return describe("slow answers", k.route, k.domain, a, b, a.slow, b.slow)
	}
	return ""
}

func exceeds(x, n, y, m uint64, floor, ratio float64) bool {
	a := float64(x) / float64(max(n, 1))
	b := float64(y) / float64(max(m, 1))
	return a > floor && a > ratio*b
}

func (c *Control) mergeEvidence(p *peer, l []*cowslipmessage.Evidence) {
	for _, e := range l {
		k := evidenceKey{e.GetMove(), e.GetVersion(), e.GetRoute(), e.GetFailureDomain()}
		p.evidence[k] = counts{e.GetRequests(), e.GetErrors(), e.GetSlow()}
	}
}
