package cowslipcontrol

import (
	"fmt"
	"maps"
	"math"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliptarget"
)

// Constants of pooling evidence.
const (
	snapshotInterval    = time.Second
	snapshotCount       = 10
	maxRoutes           = 64
	minCrashingRequests = 3 // different requests that crashed the new version
)

// Buckets of latencies: each bound is bucketRatio times the one before. An
// answer is slow if it is slowBuckets over the old version's slowQuantile.
const (
	bucketCount         = 40
	firstBucket         = 100 * time.Microsecond
	bucketRatio         = math.Sqrt2
	slowBuckets         = 2
	slowQuantile        = 0.95
	maxDecayedRequests  = 300 // requests that the longer mean remembers
	minLatencySamples   = 20  // answers from which the latency is known
	minBaselineRequests = 60  // requests of the old version from which it is known
)

type evidenceKey struct {
	move, version, route, domain string
}

// counts are the requests of one key. Latencies are those of good answers.
type counts struct {
	requests, errors uint64
	latencies        [bucketCount]uint64
}

func bucketOf(d time.Duration) int {
	b := math.Log(float64(max(d, firstBucket))/float64(firstBucket)) / math.Log(bucketRatio)
	return min(int(b), bucketCount-1)
}

func (a counts) plus(b counts) counts {
	a.requests += b.requests
	a.errors += b.errors
	for i, n := range b.latencies {
		a.latencies[i] += n
	}
	return a
}

// minus gives what was added since b.
func (a counts) minus(b counts) counts {
	a.requests -= b.requests
	a.errors -= b.errors
	for i, n := range b.latencies {
		a.latencies[i] -= min(n, a.latencies[i])
	}
	return a
}

func (a counts) answers() uint64 {
	var n uint64
	for _, x := range a.latencies {
		n += x
	}
	return n
}

// slowThreshold is the bucket from which an answer is slow against these, and
// whether there are enough to tell.
func (a counts) slowThreshold() (int, bool) {
	n := a.answers()
	if n < minLatencySamples {
		return 0, false
	}
	var sum uint64
	for i, x := range a.latencies {
		if sum += x; float64(sum) >= slowQuantile*float64(n) {
			return i + slowBuckets, true
		}
	}
	return bucketCount, true
}

func (a counts) slow(from int) uint64 {
	var n uint64
	for i := from; i < bucketCount; i++ {
		n += a.latencies[i]
	}
	return n
}

// evidenceSnapshot is the pooled evidence at one time.
type evidenceSnapshot struct {
	at          time.Time
	pooled      map[evidenceKey]counts
	comparisons map[evidenceKey]comparison
}

// observeMove counts a request as evidence of the move of its service. A
// request that crashed its target counts only through the table of crashes,
// and one that did not run says nothing of the version.
func (c *Control) observeMove(s Sample) {
	i := s.Target.Info()
	for n := range c.moves {
		m := &c.moves[n]
		side, ok := m.config.Side(i.Version)
		if m.config.Service() != i.Service || !ok {
			continue
		}
		if s.Crashed || s.Outcome.NotRun() && s.Outcome != cowsliptarget.NotSent || s.Outcome == cowsliptarget.Cancelled && !s.TimedOut {
			return
		}
		k := evidenceKey{m.config.ID(), side, s.Route, i.FailureDomain}
		if _, ok := m.localEvidence[k]; !ok && len(m.localEvidence) >= 4*maxRoutes {
			return
		}
		x := m.localEvidence[k]
		x.requests++
		if s.Outcome == cowsliptarget.OK {
			x.latencies[bucketOf(s.Latency)]++
		} else {
			x.errors++
		}
		m.localEvidence[k] = x
		m.route(s.Route)
		return
	}
}

// pooled adds up the evidence of all instances.
func (c *Control) pooled(m *move) map[evidenceKey]counts {
	p := maps.Clone(m.localEvidence)
	if c.o.NoPool {
		return p
	}
	add := func(l map[evidenceKey]counts) {
		for k, x := range l {
			if k.move == m.config.ID() {
				p[k] = p[k].plus(x)
			}
		}
	}
	add(c.retired)
	for i := range c.peers {
		add(c.peers[i].evidence)
	}
	return p
}

// retire keeps the evidence of a peer that is gone or started anew.
func (c *Control) retire(p *peer) {
	for k, x := range p.evidence {
		c.retired[k] = c.retired[k].plus(x)
	}
	clear(p.evidence)
}

// poolEvidence pools the evidence once a windowStep, adds what is new to the tallies,
// and keeps the last seconds, so that a late fault is not hidden by earlier
// success. It tells whether there is a new window.
func (c *Control) poolEvidence(now time.Time, m *move) bool {
	if n := len(m.history); n > 0 && now.Sub(m.history[n-1].at) < snapshotInterval {
		return false
	}
	p := c.pooled(m)
	m.updateBaseline(p)
	for k, x := range p {
		m.route(k.route)
		if k.version == m.config.To() {
			m.comparisons[k] = m.comparisons[k].plus(m.compare(k, x.minus(m.latestPooled()[k])))
		}
	}
	m.history = append(m.history, evidenceSnapshot{at: now, pooled: p, comparisons: maps.Clone(m.comparisons)})
	if len(m.history) > snapshotCount {
		m.history = m.history[1:]
	}
	return true
}

// updateBaseline keeps what the old version's share of bad requests is known
// from: the shortest time up to now that holds enough requests, which follows
// trouble that befalls both versions, and a longer mean, which is steadier.
func (m *move) updateBaseline(p map[evidenceKey]counts) {
	for k, x := range p {
		if k.version != m.config.From() {
			continue
		}
		b := m.baseline[k]
		if b.recent.requests < minBaselineRequests {
			b.recent = x
		}
		for i := len(m.history) - 1; i >= 0; i-- {
			if r := x.minus(m.history[i].pooled[k]); r.requests >= minBaselineRequests {
				b.recent = r
				break
			}
		}
		b.decayed.add(x.minus(m.latestPooled()[k]))
		m.baseline[k] = b
	}
}

// latestPooled is the pooled evidence last gathered.
func (m *move) latestPooled() map[evidenceKey]counts {
	if len(m.history) == 0 {
		return nil
	}
	return m.history[len(m.history)-1].pooled
}

func (m *move) byRoute(version string) map[string]counts {
	r := map[string]counts{}
	for k, x := range m.latestPooled() {
		if k.version == version {
			r[k.route] = r[k.route].plus(x)
		}
	}
	return r
}

// fault says what is wrong with a move's new version, empty if nothing.
func (c *Control) fault(now time.Time, m *move) string {
	if n := c.countCrashingRequests(m); n >= minCrashingRequests {
		return fmt.Sprintf("%d different requests crashed version %s", n, m.config.To())
	}
	if len(m.history) == 0 {
		return ""
	}
	first := m.history[0].comparisons
	sums := map[trafficScope]comparison{}
	recent := map[trafficScope]comparison{}
	for k, x := range m.comparisons {
		for _, s := range []trafficScope{{k.route, k.domain}, {k.route, ""}, {"", ""}} {
			sums[s] = sums[s].plus(x.squareMargins())
			recent[s] = recent[s].plus(x.minus(first[k]).squareMargins())
		}
	}
	chance := significanceLevel
	if m.progress(now) < rampStart || !m.proven() {
		chance = canarySignificanceLevel
	}
	for s, x := range sums {
		if r := x.fault(s, chance); r != "" {
			return r
		}
		if r := recent[s].fault(s, chance); r != "" {
			return r
		}
	}
	return ""
}

func (c *Control) mergeEvidence(p *peer, l []*cowslipmessage.Evidence) {
	for _, e := range l {
		k := evidenceKey{e.GetMove(), e.GetVersion(), e.GetRoute(), e.GetFailureDomain()}
		x := counts{requests: e.GetRequests(), errors: e.GetErrors()}
		copy(x.latencies[:], e.GetLatencies())
		p.evidence[k] = x
	}
}

func evidenceMessage(k evidenceKey, x counts) *cowslipmessage.Evidence {
	last := bucketCount
	for last > 0 && x.latencies[last-1] == 0 {
		last--
	}
	return &cowslipmessage.Evidence{Move: k.move, Version: k.version, Route: k.route, FailureDomain: k.domain, Requests: x.requests, Errors: x.errors, Latencies: x.latencies[:last]}
}
