package cowslipcontrol

import (
	"fmt"
	"maps"
	"math"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliptarget"
)

// Limits of the pooled evidence.
const (
	maxSnapshotInterval = time.Second
	minSnapshots        = 32 // during a move
	snapshotCount       = 10
	maxRoutes           = 64 // an instance counts evidence for at most 4*maxRoutes keys per move
	minCrashingRequests = 3  // the new version is at fault once this many distinct requests have crashed it
)

// Latency histograms have exponential buckets: each bound is bucketRatio times
// the previous one. An answer is slow if its bucket is at least slowBuckets above
// the bucket of the old version's slowQuantile.
const (
	bucketCount         = 40
	firstBucket         = 100 * time.Microsecond
	bucketRatio         = math.Sqrt2
	slowBuckets         = 2
	slowQuantile        = 0.95
	maxDecayedRequests  = 300 // effective sample size of the decayed baseline
	minLatencySamples   = 20  // answers needed for a latency quantile
	minBaselineRequests = 60  // requests to the old version needed for the recent baseline
)

// evidenceKey identifies the requests that are counted together.
type evidenceKey struct {
	move, version, route, domain string
}

// counts are cumulative counters of the requests of one key. The latencies are a
// histogram of the successful answers.
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

// minus returns the difference to an earlier value of the counters.
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

// slowThreshold returns the lowest bucket that counts as slow relative to these
// latencies, and false if there are fewer than minLatencySamples of them.
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

// evidenceSnapshot is the pooled evidence, in cumulative counts, at one time.
type evidenceSnapshot struct {
	at          time.Time
	pooled      map[evidenceKey]counts
	comparisons map[evidenceKey]comparison
}

// observeMove counts a request as evidence for the move of its service. A request
// that crashed its target counts only in the table of crashes. One that the target
// refused without running it, or that was cancelled before its deadline, says
// nothing about the version and is not counted.
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

// pooled returns the sum of the evidence of all instances, including those that
// are gone.
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
	for _, l := range c.departedCounts {
		add(l)
	}
	for i := range c.peers {
		add(c.peers[i].evidence)
	}
	return p
}

// retire preserves the evidence of an incarnation of a peer that is gone.
func (c *Control) retire(p *peer, incarnation string) {
	if len(p.evidence) > 0 {
		c.departedCounts[incarnation] = p.evidence
	}
	p.evidence = map[evidenceKey]counts{}
}

// snapshotInterval returns the interval between snapshots of the pooled evidence.
func (m *move) snapshotInterval() time.Duration {
	return min(maxSnapshotInterval, m.duration()/minSnapshots)
}

// poolEvidence takes a snapshot of the pooled evidence once per snapshotInterval
// and adds the increments since the last one to the comparisons. It keeps the
// last snapshots so that earlier successes don't hide a fault that appears late.
// It reports whether it took a snapshot.
func (c *Control) poolEvidence(now time.Time, m *move) bool {
	if n := len(m.history); n > 0 && now.Sub(m.history[n-1].at) < m.snapshotInterval() {
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
	m.recordCheckpoint(now)
	if len(m.history) > snapshotCount {
		m.history = m.history[1:]
	}
	return true
}

// updateBaseline updates the requests from which the old version's rates of bad
// requests are estimated. The recent ones cover the shortest time up to now that
// has minBaselineRequests, so they reflect trouble that affects both versions. The
// decayed ones cover a longer time and give a more stable estimate.
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

// latestPooled returns the pooled evidence of the last snapshot, nil before the
// first.
func (m *move) latestPooled() map[evidenceKey]counts {
	if len(m.history) == 0 {
		return nil
	}
	return m.history[len(m.history)-1].pooled
}

// byRoute sums the last pooled evidence for a version by route, over all failure
// domains.
func (m *move) byRoute(version string) map[string]counts {
	r := map[string]counts{}
	for k, x := range m.latestPooled() {
		if k.version == version {
			r[k.route] = r[k.route].plus(x)
		}
	}
	return r
}

// fault describes the fault of a move's new version, and returns an empty string
// if there is none. It tests each route in each failure domain, each route and
// the whole service, over the whole move, since each of the recent checkpoints and over
// the time of the last snapshots.
func (c *Control) fault(now time.Time, m *move) string {
	if n := c.countCrashingRequests(m); n >= minCrashingRequests {
		return fmt.Sprintf("%d different requests crashed version %s", n, m.config.To())
	}
	if len(m.history) == 0 {
		return ""
	}
	t := faultThreshold
	if m.progress(now) < rampStart || !m.proven() {
		t = canaryThreshold
	}
	if r := m.faultSince(nil, t); r != "" {
		return r
	}
	for _, k := range m.recentCheckpoints() {
		if r := m.faultSince(k.comparisons, t); r != "" {
			return r
		}
	}
	return m.faultSince(m.history[0].comparisons, t)
}

// faultSince describes the fault that the requests since the given comparisons show.
func (m *move) faultSince(first map[evidenceKey]comparison, t threshold) string {
	sums := map[trafficScope]comparison{}
	for k, x := range m.comparisons {
		for _, s := range []trafficScope{{k.route, k.domain}, {k.route, ""}, {"", ""}} {
			sums[s] = sums[s].plus(x.minus(first[k]).squareMargins())
		}
	}
	for s, x := range sums {
		if r := x.fault(s, t); r != "" {
			return r
		}
	}
	return ""
}

// mergeEvidence replaces the evidence of a peer. If the same incarnation was thought to be
// gone, its counters continue those that were preserved.
func (c *Control) mergeEvidence(now time.Time, p *peer, l []*cowslipmessage.Evidence) {
	if x, ok := c.departedCounts[p.incarnation]; ok {
		maps.Copy(p.evidence, x)
		delete(c.departedCounts, p.incarnation)
	}
	for _, e := range l {
		k := evidenceKey{e.GetMove(), e.GetVersion(), e.GetRoute(), e.GetFailureDomain()}
		x := counts{requests: e.GetRequests(), errors: e.GetErrors()}
		copy(x.latencies[:], e.GetLatencies())
		p.evidence[k] = x
	}
	p.evidenceAt = now
}

func evidenceMessage(k evidenceKey, x counts) *cowslipmessage.Evidence {
	last := bucketCount
	for last > 0 && x.latencies[last-1] == 0 {
		last--
	}
	return &cowslipmessage.Evidence{Move: k.move, Version: k.version, Route: k.route, FailureDomain: k.domain, Requests: x.requests, Errors: x.errors, Latencies: x.latencies[:last]}
}
