package cowslipcontrol

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Constants of the latency windows behind hedging and of the retry budget.
const (
	latencyWindow   = 5 * time.Second
	latencyStep     = 500 * time.Millisecond
	hedgeQuantile   = 98
	hedgeSamples    = 100
	minHedgeAfter   = time.Millisecond
	hedgeFirstShare = 4 // without samples: a quarter of the deadline
	maxLatency      = time.Minute
	reprobePause    = 100 * time.Millisecond
	startBudget     = 5 // retries allowed before the first answers
)

// service is a row of the table of services.
type service struct {
	config    cowslipconfig.Service
	budget    *cowsliproute.Budget
	limiter   *cowsliproute.Limiter
	canary    *atomic.Bool
	snapshots []cowsliproute.Snapshot
	latency   *latencies
	hedge     time.Duration
	derived   time.Time // when hedge was last derived
	rotated   time.Time // when the windows last turned
	reprobed  time.Time
}

// latencies are two windows of samples, in microseconds. The zero value has
// none; its histograms, of some 50 KB, are made for the first sample.
type latencies struct {
	now, before *hdrhistogram.Histogram
}

func (l *latencies) add(d time.Duration) {
	if l.now == nil {
		l.now = hdrhistogram.New(1, maxLatency.Microseconds(), 2)
		l.before = hdrhistogram.New(1, maxLatency.Microseconds(), 2)
	}
	// A value over the highest trackable one is counted as that one.
	_ = l.now.RecordValue(min(max(d, time.Microsecond), maxLatency).Microseconds())
}

func (l *latencies) rotate() {
	if l.now == nil {
		return
	}
	l.now, l.before = l.before, l.now
	l.now.Reset()
}

// quantile gives a quantile of the window before, else of the present one; 0
// with too few samples.
func (l *latencies) quantile(q float64) time.Duration {
	h := l.before
	if h == nil {
		return 0
	}
	if h.TotalCount() < hedgeSamples {
		h = l.now
	}
	if h.TotalCount() < hedgeSamples {
		return 0
	}
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// applyServices brings the table of services in line with the configuration.
func (c *Control) applyServices() {
	keep := map[string]bool{}
	for _, s := range c.config.Services() {
		keep[s.Name()] = true
		r := c.services[s.Name()]
		if r == nil {
			r = &service{budget: &cowsliproute.Budget{}, limiter: &cowsliproute.Limiter{}, canary: &atomic.Bool{}, latency: &latencies{}}
			r.budget.Earn(startBudget)
			if c.o.NoAdmission {
				r.limiter.Disable()
			}
			c.services[s.Name()] = r
		}
		r.config = s
		r.hedge = firstHedge(s)
		c.markTargets(s.Name())
	}
	for n := range c.services {
		if !keep[n] {
			delete(c.services, n)
		}
	}
}

func firstHedge(s cowslipconfig.Service) time.Duration { return s.Deadline() / hedgeFirstShare }

func (c *Control) observeService(s Sample) {
	i := s.Target.Info()
	r := c.services[i.Service]
	if r == nil {
		return
	}
	switch s.Outcome {
	case cowsliptarget.Shed, cowsliptarget.Expired:
		r.limiter.RecordOverload(s.At)
	case cowsliptarget.WrongVersion:
		c.reprobe(s.At, i.Service, r)
	case cowsliptarget.OK:
		if s.Route == "" || c.routes[s.Route] == nil {
			r.latency.add(s.Latency)
		}
	}
}

// reprobe makes all targets of a service due for a report: one of them holds
// another index version than it said, so the others may, too.
func (c *Control) reprobe(now time.Time, name string, r *service) {
	if now.Sub(r.reprobed) < reprobePause {
		return
	}
	r.reprobed = now
	for i := range c.targets {
		if t := &c.targets[i]; t.handle.Info().Service == name {
			t.reported = time.Time{}
		}
	}
}

// runLatency turns the windows and derives when to hedge.
func (c *Control) runLatency(now time.Time) {
	for n, s := range c.services {
		if now.Sub(s.derived) < latencyStep {
			continue
		}
		s.derived = now
		h := firstHedge(s.config)
		if q := s.latency.quantile(hedgeQuantile); q > 0 {
			h = min(max(q, minHedgeAfter), h)
		}
		if now.Sub(s.rotated) >= latencyWindow {
			s.rotated = now
			s.latency.rotate()
		}
		if h != s.hedge {
			s.hedge = h
			c.markService(n)
		}
	}
}

// buildSnapshots groups the holdings of a service's usable targets by index
// version, the best version first: more of the key space, then newer.
func (c *Control) buildSnapshots(name string) []cowsliproute.Snapshot {
	type key struct {
		version uint64
		lo, hi  uint32
	}
	parts := map[key][]*cowsliproute.Target{}
	for i := range c.targets {
		t := &c.targets[i]
		if t.handle.Info().Service != name || !c.serving(t) {
			continue
		}
		for _, h := range t.holdings {
			if h.Lo < h.Hi && h.Hi <= cowsliptarget.KeySpace {
				k := key{h.IndexVersion, h.Lo, h.Hi}
				parts[k] = append(parts[k], t.handle)
			}
		}
	}
	by := map[uint64][]cowsliproute.Shard{}
	for k, r := range parts {
		by[k.version] = append(by[k.version], cowsliproute.Shard{Lo: k.lo, Hi: k.hi, Replicas: r})
	}
	var s []cowsliproute.Snapshot
	for v, p := range by {
		s = append(s, cowsliproute.Snapshot{IndexVersion: v, Shards: disjoint(p)})
	}
	slices.SortFunc(s, func(a, b cowsliproute.Snapshot) int {
		return cmp.Or(cmp.Compare(covered(b), covered(a)), cmp.Compare(b.IndexVersion, a.IndexVersion))
	})
	return s
}

// disjoint orders parts and leaves out those that overlap one with more
// replicas, which a target with a wrong shard map would report.
func disjoint(p []cowsliproute.Shard) []cowsliproute.Shard {
	slices.SortFunc(p, func(a, b cowsliproute.Shard) int {
		return cmp.Or(cmp.Compare(len(b.Replicas), len(a.Replicas)), cmp.Compare(a.Lo, b.Lo), cmp.Compare(a.Hi, b.Hi))
	})
	var d []cowsliproute.Shard
	for _, x := range p {
		if !slices.ContainsFunc(d, func(y cowsliproute.Shard) bool { return x.Lo < y.Hi && y.Lo < x.Hi }) {
			d = append(d, x)
		}
	}
	slices.SortFunc(d, func(a, b cowsliproute.Shard) int { return cmp.Compare(a.Lo, b.Lo) })
	return d
}

func covered(s cowsliproute.Snapshot) uint32 {
	var n uint32
	for _, p := range s.Shards {
		n += p.Hi - p.Lo
	}
	return n
}
