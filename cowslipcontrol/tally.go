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
	faultChance  = 1e-4
	canaryChance = 1e-2
	minErrors    = 3
	errorFloor   = 0.02
	minSlow      = 4
	slowFloor    = 0.1
	priorWeight  = 50 // requests that the belief in the old version starts from, one of them bad

	doubtDeviations = 3
	troubleFrom     = 0.05 // share of bad requests of the old version from which there is trouble of another kind
	troubleFactor   = 1e-2 // on the chance in such trouble
)

// scope is the part of a service's traffic that a judgement covers; empty
// stands for all routes or failure domains.
type scope struct {
	route, domain string
}

// mean is a weighted number of requests and of those that failed.
type mean struct {
	requests, errors float64
}

// add takes in new requests and forgets the oldest over longWeight.
func (m *mean) add(n counts) {
	m.requests += float64(n.requests)
	m.errors += float64(n.errors)
	if m.requests > longWeight {
		f := longWeight / m.requests
		m.requests *= f
		m.errors *= f
	}
}

// baseline is what the old version's share of bad requests is known from.
type baseline struct {
	short counts
	long  mean
}

// tally counts the new version's requests against those that would have been
// bad had the old version served them at the same time in the same failure
// domain. The doubts are how far the expectation may be off.
type tally struct {
	requests, errors, answers, slow uint64
	expectedErrors, doubtErrors     float64
	expectedSlow, doubtSlow         float64
}

// tallyOf weighs what is new of a key of the new version.
func (m *move) tallyOf(k evidenceKey, x counts) tally {
	t := tally{requests: x.requests, errors: x.errors}
	o := k
	o.version = m.config.From()
	b := m.baseline[o]
	p, d := share(float64(b.short.errors), float64(b.short.requests))
	if q, e := share(b.long.errors, b.long.requests); q+e > p+d {
		p, d = q, e
	}
	t.expectedErrors, t.doubtErrors = float64(x.requests)*p, float64(x.requests)*d
	old := b.short
	from, ok := old.slowFrom()
	if !ok {
		old = m.byRoute(m.config.From())[k.route]
		if from, ok = old.slowFrom(); !ok {
			return t
		}
	}
	t.answers, t.slow = x.answers(), x.slow(from)
	p, d = share(float64(old.slow(from)), float64(old.answers()))
	t.expectedSlow, t.doubtSlow = float64(t.answers)*p, float64(t.answers)*d
	return t
}

// share is the old version's share of bad requests, and how far it may be off.
func share(bad, all float64) (p, doubt float64) {
	n := all + priorWeight
	p = (bad + 1) / n
	return p, doubtDeviations * math.Sqrt(p*(1-p)/n)
}

// independent turns the doubts into their squares, which add up over keys.
func (t tally) independent() tally {
	t.doubtErrors *= t.doubtErrors
	t.doubtSlow *= t.doubtSlow
	return t
}

func (t tally) plus(o tally) tally {
	return tally{
		t.requests + o.requests, t.errors + o.errors, t.answers + o.answers, t.slow + o.slow,
		t.expectedErrors + o.expectedErrors, t.doubtErrors + o.doubtErrors, t.expectedSlow + o.expectedSlow, t.doubtSlow + o.doubtSlow,
	}
}

func (t tally) minus(o tally) tally {
	return tally{
		t.requests - o.requests, t.errors - o.errors, t.answers - o.answers, t.slow - o.slow,
		t.expectedErrors - o.expectedErrors, t.doubtErrors - o.doubtErrors, t.expectedSlow - o.expectedSlow, t.doubtSlow - o.doubtSlow,
	}
}

// fault says what is wrong with a sum of independent tallies, empty if nothing.
func (t tally) fault(s scope, chance float64) string {
	e := judgement{bad: t.errors, of: t.requests, expected: t.expectedErrors, doubt: math.Sqrt(t.doubtErrors), floor: errorFloor}
	if t.errors >= minErrors && e.unlikely(chance) {
		return s.describe("failures", e)
	}
	e = judgement{bad: t.slow, of: t.answers, expected: t.expectedSlow, doubt: math.Sqrt(t.doubtSlow), floor: slowFloor}
	if t.slow >= minSlow && e.unlikely(chance) {
		return s.describe("slow answers", e)
	}
	return ""
}

// judgement holds the bad requests of the new version against those expected.
type judgement struct {
	bad, of         uint64
	expected, doubt float64
	floor           float64 // share of bad requests that is never a fault
}

// unlikely tells whether so many bad requests have less than a chance. Where
// the old version is in trouble itself, the chance must be smaller.
func (j judgement) unlikely(chance float64) bool {
	n := float64(j.of)
	p := min(max(j.floor, (j.expected+j.doubt)/n), 1)
	if float64(j.bad) <= p*n {
		return false
	}
	if j.expected > max(j.floor, troubleFrom)*n {
		chance *= troubleFactor
	}
	return distuv.Binomial{N: n, P: p}.Survival(float64(j.bad)-1) < chance
}

func (s scope) describe(what string, j judgement) string {
	where := ""
	if s.route != "" {
		where = " on route " + s.route
	}
	if s.domain != "" {
		where += " in failure domain " + s.domain
	}
	return fmt.Sprintf("%s%s: %d of %d, where up to %.1f were expected", what, where, j.bad, j.of, j.expected+j.doubt)
}
