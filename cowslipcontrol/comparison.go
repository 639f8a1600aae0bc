package cowslipcontrol

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat/distuv"
)

// Thresholds of a fault. Bad requests are failures or slow answers. The null
// hypothesis is that the new version's rate of bad requests is at most the upper
// confidence bound of the old version's rate, or the floor if that is higher. A
// one-sided binomial test rejects it, and the version is at fault, if the
// probability of that many bad requests is below the significance level.
const (
	errorRateFloor = 0.02 // a lower error rate is never a fault
	slowRateFloor  = 0.1  // a lower rate of slow answers is never a fault
	priorRequests  = 50   // pseudo-requests, one of them bad, that the prior adds to the estimate of the old version's rate

	marginStandardErrors = 3    // distance of the upper confidence bound from the estimated rate
	degradedRate         = 0.05 // bad-request rate of the old version above which a fault outside the new version is assumed
	degradedLevelFactor  = 1e-2 // multiplies the significance level while the old version is degraded
)

// threshold is what a test of the new version requires for a fault.
type threshold struct {
	level  float64 // significance level
	errors uint64  // fewer failures are never a fault
	slow   uint64  // fewer slow answers are never a fault
	strict bool    // few requests of a route are compared with less margin for failures, as they can hardly show more
}

var (
	faultThreshold  = threshold{level: 1e-4, errors: 3, slow: 4}
	canaryThreshold = threshold{level: 1e-2, errors: 3, slow: 4}              // before rampStart, and until some route has enough evidence to start its ramp
	doubtThreshold  = threshold{level: 0.1, errors: 2, slow: 4, strict: true} // before the move is recorded as done
)

// trafficScope is the part of a service's traffic that a test covers. An empty
// route or domain stands for all routes or failure domains.
type trafficScope struct {
	route, domain string
}

// decayedCounts holds the numbers of requests and of failed ones, with older
// requests weighted less.
type decayedCounts struct {
	requests, errors float64
}

// add adds requests and then scales the counts down to maxDecayedRequests, which
// lowers the weight of the older ones.
func (d *decayedCounts) add(n counts) {
	d.requests += float64(n.requests)
	d.errors += float64(n.errors)
	if d.requests > maxDecayedRequests {
		f := maxDecayedRequests / d.requests
		d.requests *= f
		d.errors *= f
	}
}

// baseline holds the requests to the old version from which its rates of bad
// requests are estimated.
type baseline struct {
	recent  counts
	decayed decayedCounts
}

// comparison holds the observed counts of the new version, and the counts of bad
// requests expected if the old version had served the same requests at the same
// time in the same failure domain. The margins are the margins of error of the
// expected counts.
type comparison struct {
	requests, errors, answers, slow uint64
	expectedErrors, errorsMargin    float64
	expectedSlow, slowMargin        float64
}

// compare compares requests to the new version with the baseline of the same
// route and failure domain. The expected error rate is the estimate from the recent
// or from the decayed baseline, whichever has the higher upper confidence bound. If
// the recent baseline has too few latencies, those of the whole route are used
// instead; if these are too few as well, latencies are not compared.
func (m *move) compare(k evidenceKey, x counts) comparison {
	c := comparison{requests: x.requests, errors: x.errors}
	o := k
	o.version = m.config.From()
	b := m.baseline[o]
	p, d := estimateBadRate(float64(b.recent.errors), float64(b.recent.requests))
	if q, e := estimateBadRate(b.decayed.errors, b.decayed.requests); q+e > p+d {
		p, d = q, e
	}
	c.expectedErrors, c.errorsMargin = float64(x.requests)*p, float64(x.requests)*d
	old := b.recent
	from, ok := old.slowThreshold()
	if !ok {
		old = m.byRoute(m.config.From())[k.route]
		if from, ok = old.slowThreshold(); !ok {
			return c
		}
	}
	c.answers, c.slow = x.answers(), x.slow(from)
	p, d = estimateBadRate(float64(old.slow(from)), float64(old.answers()))
	c.expectedSlow, c.slowMargin = float64(c.answers)*p, float64(c.answers)*d
	return c
}

// estimateBadRate estimates the old version's rate of bad requests and the
// estimate's margin of error, which is marginStandardErrors standard errors.
func estimateBadRate(bad, all float64) (p, margin float64) {
	n := all + priorRequests
	p = (bad + 1) / n
	return p, marginStandardErrors * math.Sqrt(p*(1-p)/n)
}

// squareMargins squares the margins, so that they add up over keys like the
// variances of independent estimates.
func (c comparison) squareMargins() comparison {
	c.errorsMargin *= c.errorsMargin
	c.slowMargin *= c.slowMargin
	return c
}

func (c comparison) plus(o comparison) comparison {
	return comparison{
		c.requests + o.requests, c.errors + o.errors, c.answers + o.answers, c.slow + o.slow,
		c.expectedErrors + o.expectedErrors, c.errorsMargin + o.errorsMargin, c.expectedSlow + o.expectedSlow, c.slowMargin + o.slowMargin,
	}
}

func (c comparison) minus(o comparison) comparison {
	return comparison{
		c.requests - o.requests, c.errors - o.errors, c.answers - o.answers, c.slow - o.slow,
		c.expectedErrors - o.expectedErrors, c.errorsMargin - o.errorsMargin, c.expectedSlow - o.expectedSlow, c.slowMargin - o.slowMargin,
	}
}

// fault describes the fault of the new version, and returns an empty string if
// there is none. The receiver's margins must be those returned by squareMargins.
func (c comparison) fault(s trafficScope, t threshold) string {
	e := binomialTest{bad: c.errors, total: c.requests, expected: c.expectedErrors, margin: math.Sqrt(c.errorsMargin), rateFloor: errorRateFloor}
	if t.strict && s.domain == "" && c.requests < lowTrafficRequests {
		e.margin /= marginStandardErrors
	}
	if c.errors >= t.errors && e.significant(t.level) {
		return s.describe("failures", e)
	}
	e = binomialTest{bad: c.slow, total: c.answers, expected: c.expectedSlow, margin: math.Sqrt(c.slowMargin), rateFloor: slowRateFloor}
	if c.slow >= t.slow && e.significant(t.level) {
		return s.describe("slow answers", e)
	}
	return ""
}

// binomialTest is a one-sided test of the number of bad requests of the new
// version against the expected number.
type binomialTest struct {
	bad, total       uint64
	expected, margin float64
	rateFloor        float64 // a lower rate of bad requests is never a fault
}

// significant reports whether the probability of at least this many bad requests
// is below the significance level. The level is stricter while the old version is
// degraded itself.
func (t binomialTest) significant(level float64) bool {
	n := float64(t.total)
	p := min(max(t.rateFloor, (t.expected+t.margin)/n), 1)
	if float64(t.bad) <= p*n {
		return false
	}
	if t.expected > max(t.rateFloor, degradedRate)*n {
		level *= degradedLevelFactor
	}
	return distuv.Binomial{N: n, P: p}.Survival(float64(t.bad)-1) < level
}

func (s trafficScope) describe(what string, t binomialTest) string {
	where := ""
	if s.route != "" {
		where = " on route " + s.route
	}
	if s.domain != "" {
		where += " in failure domain " + s.domain
	}
	return fmt.Sprintf("%s%s: %d of %d, where up to %.1f were expected", what, where, t.bad, t.total, t.expected+t.margin)
}
