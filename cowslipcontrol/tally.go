package cowslipcontrol

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Thresholds of a fault. A version is at fault if so many failures or slow
// answers would be chance with less than faultChance, or canaryChance while all
// its requests are canaries, were it as good as the old version, or as the floor allows.
const (
	significanceLevel       = 1e-4
	canarySignificanceLevel = 1e-2
	minErrors               = 3
	errorRateFloor          = 0.02
	minSlow                 = 4
	slowRateFloor           = 0.1
	priorRequests           = 50 // requests that the belief in the old version starts from, one of them bad

	marginStandardErrors = 3
	degradedRate         = 0.05 // share of bad requests of the old version from which there is trouble of another kind
	degradedLevelFactor  = 1e-2 // on the chance in such trouble
)

// trafficScope is the part of a service's traffic that a judgement covers; empty
// stands for all routes or failure domains.
type trafficScope struct {
	route, domain string
}

// decayedCounts is a weighted number of requests and of those that failed.
type decayedCounts struct {
	requests, errors float64
}

// add takes in new requests and forgets the oldest over longWeight.
func (m *decayedCounts) add(n counts) {
	m.requests += float64(n.requests)
	m.errors += float64(n.errors)
	if m.requests > maxDecayedRequests {
		f := maxDecayedRequests / m.requests
		m.requests *= f
		m.errors *= f
	}
}

// baseline is what the old version's share of bad requests is known from.
type baseline struct {
	recent  counts
	decayed decayedCounts
}

// comparison counts the new version's requests against those that would have been
// bad had the old version served them at the same time in the same failure
// domain. The doubts are how far the expectation may be off.
type comparison struct {
	requests, errors, answers, slow uint64
	expectedErrors, errorsMargin    float64
	expectedSlow, slowMargin        float64
}

// compare weighs what is new of a key of the new version.
func (m *move) compare(k evidenceKey, x counts) comparison {
	t := comparison{requests: x.requests, errors: x.errors}
	o := k
	o.version = m.config.From()
	b := m.baseline[o]
	p, d := estimateBadRate(float64(b.recent.errors), float64(b.recent.requests))
	if q, e := estimateBadRate(b.decayed.errors, b.decayed.requests); q+e > p+d {
		p, d = q, e
	}
	t.expectedErrors, t.errorsMargin = float64(x.requests)*p, float64(x.requests)*d
	old := b.recent
	from, ok := old.slowThreshold()
	if !ok {
		old = m.byRoute(m.config.From())[k.route]
		if from, ok = old.slowThreshold(); !ok {
			return t
		}
	}
	t.answers, t.slow = x.answers(), x.slow(from)
	p, d = estimateBadRate(float64(old.slow(from)), float64(old.answers()))
	t.expectedSlow, t.slowMargin = float64(t.answers)*p, float64(t.answers)*d
	return t
}

// estimateBadRate is the old version's share of bad requests, and how far it may be off.
func estimateBadRate(bad, all float64) (p, doubt float64) {
	n := all + priorRequests
	p = (bad + 1) / n
	return p, marginStandardErrors * math.Sqrt(p*(1-p)/n)
}

// squareMargins turns the doubts into their squares, which add up over keys.
func (t comparison) squareMargins() comparison {
	t.errorsMargin *= t.errorsMargin
	t.slowMargin *= t.slowMargin
	return t
}

func (t comparison) plus(o comparison) comparison {
	return comparison{
		t.requests + o.requests, t.errors + o.errors, t.answers + o.answers, t.slow + o.slow,
		t.expectedErrors + o.expectedErrors, t.errorsMargin + o.errorsMargin, t.expectedSlow + o.expectedSlow, t.slowMargin + o.slowMargin,
	}
}

func (t comparison) minus(o comparison) comparison {
	return comparison{
		t.requests - o.requests, t.errors - o.errors, t.answers - o.answers, t.slow - o.slow,
		t.expectedErrors - o.expectedErrors, t.errorsMargin - o.errorsMargin, t.expectedSlow - o.expectedSlow, t.slowMargin - o.slowMargin,
	}
}

// fault says what is wrong with a sum of independent tallies, empty if nothing.
func (t comparison) fault(s trafficScope, chance float64) string {
	e := binomialTest{bad: t.errors, total: t.requests, expected: t.expectedErrors, margin: math.Sqrt(t.errorsMargin), rateFloor: errorRateFloor}
	if t.errors >= minErrors && e.significant(chance) {
		return s.describe("failures", e)
	}
	e = binomialTest{bad: t.slow, total: t.answers, expected: t.expectedSlow, margin: math.Sqrt(t.slowMargin), rateFloor: slowRateFloor}
	if t.slow >= minSlow && e.significant(chance) {
		return s.describe("slow answers", e)
	}
	return ""
}

// binomialTest holds the bad requests of the new version against those expected.
type binomialTest struct {
	bad, total       uint64
	expected, margin float64
	rateFloor        float64 // share of bad requests that is never a fault
}

// significant tells whether so many bad requests have less than a chance. Where
// the old version is in trouble itself, the chance must be smaller.
func (j binomialTest) significant(chance float64) bool {
	n := float64(j.total)
	p := min(max(j.rateFloor, (j.expected+j.margin)/n), 1)
	if float64(j.bad) <= p*n {
		return false
	}
	if j.expected > max(j.rateFloor, degradedRate)*n {
		chance *= degradedLevelFactor
	}
	return distuv.Binomial{N: n, P: p}.Survival(float64(j.bad)-1) < chance
}

func (s trafficScope) describe(what string, j binomialTest) string {
	where := ""
	if s.route != "" {
		where = " on route " + s.route
	}
	if s.domain != "" {
		where += " in failure domain " + s.domain
	}
	return fmt.Sprintf("%s%s: %d of %d, where up to %.1f were expected", what, where, j.bad, j.total, j.expected+j.margin)
}
