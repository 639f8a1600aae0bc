package cowslipcontrol

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Constants of latency windows, hedging and the retry budget.
const (
	latencyWindow       = 5 * time.Second
	hedgeUpdateInterval = 500 * time.Millisecond
	hedgePercentile     = 98
	minHedgeSamples     = 100
	minHedgeDelay       = time.Millisecond
	initialHedgeDivisor = 4 // with too few samples, the hedge delay is a quarter of the deadline
	maxLatency          = time.Minute
	reprobeInterval     = 100 * time.Millisecond
	initialRetries      = 5 // retries available before any request has been answered
)

// service is a row of the table of services.
type service struct {
	config         cowslipconfig.Service
	budget         *cowsliproute.Budget
	limiter        *cowsliproute.Limiter
	canary         *atomic.Bool
	snapshots      []cowsliproute.Snapshot
	latency        *latencyRecorder
	hedgeDelay     time.Duration
	hedgeUpdatedAt time.Time // when hedgeDelay was last updated
	rotatedAt      time.Time // when the latency windows were last rotated
	reprobedAt     time.Time
}

// applyServices updates the table of services to match the configuration.
func (c *Control) applyServices() {
	keep := map[string]bool{}
	for _, s := range c.config.Services() {
		keep[s.Name()] = true
		r := c.services[s.Name()]
		if r == nil {
			r = &service{budget: &cowsliproute.Budget{}, limiter: &cowsliproute.Limiter{}, canary: &atomic.Bool{}, latency: &latencyRecorder{}}
			r.budget.Earn(initialRetries)
			if c.o.NoAdmission {
				r.limiter.Disable()
			}
			c.services[s.Name()] = r
		}
		r.config = s
		r.hedgeDelay = initialHedgeDelay(s)
		c.markTargetsDirty(s.Name())
	}
	for n := range c.services {
		if !keep[n] {
			delete(c.services, n)
		}
	}
}

func initialHedgeDelay(s cowslipconfig.Service) time.Duration {
	return s.Deadline() / initialHedgeDivisor
}

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

// reprobe makes all targets of a service due for a probe. It is called when a target
// holds another index version than it reported, since this may be true of the others
// as well.
func (c *Control) reprobe(now time.Time, name string, r *service) {
	if now.Sub(r.reprobedAt) < reprobeInterval {
		return
	}
	r.reprobedAt = now
	for i := range c.targets {
		if t := &c.targets[i]; t.handle.Info().Service == name {
			t.reportedAt = time.Time{}
		}
	}
}

// runServiceHedging updates the hedge delay of each service and rotates its latency
// windows.
func (c *Control) runServiceHedging(now time.Time) {
	for n, s := range c.services {
		if now.Sub(s.hedgeUpdatedAt) < hedgeUpdateInterval {
			continue
		}
		s.hedgeUpdatedAt = now
		h := initialHedgeDelay(s.config)
		if q := s.latency.percentile(hedgePercentile); q > 0 {
			h = min(max(q, minHedgeDelay), h)
		}
		if now.Sub(s.rotatedAt) >= latencyWindow {
			s.rotatedAt = now
			s.latency.rotate()
		}
		if h != s.hedgeDelay {
			s.hedgeDelay = h
			c.markServiceDirty(n)
		}
	}
}

// buildSnapshots groups the holdings of a service's serving targets by index version.
// The versions are ordered by coverage of the key space, highest first, then by
// version, newest first.
func (c *Control) buildSnapshots(name string) []cowsliproute.Snapshot {
	type key struct {
		version uint64
		lo, hi  uint32
	}
	replicas := map[key][]*cowsliproute.Target{}
	for i := range c.targets {
		t := &c.targets[i]
		if t.handle.Info().Service != name || !c.serving(t) {
			continue
		}
		for _, h := range t.holdings {
			if h.Lo < h.Hi && h.Hi <= cowsliptarget.KeySpace {
				k := key{h.IndexVersion, h.Lo, h.Hi}
				replicas[k] = append(replicas[k], t.handle)
			}
		}
	}
	by := map[uint64][]cowsliproute.Shard{}
	for k, r := range replicas {
		by[k.version] = append(by[k.version], cowsliproute.Shard{Lo: k.lo, Hi: k.hi, Replicas: r})
	}
	var s []cowsliproute.Snapshot
	for v, p := range by {
		s = append(s, cowsliproute.Snapshot{IndexVersion: v, Shards: disjoint(p)})
	}
	slices.SortFunc(s, func(a, b cowsliproute.Snapshot) int {
		return cmp.Or(cmp.Compare(coveredKeys(b), coveredKeys(a)), cmp.Compare(b.IndexVersion, a.IndexVersion))
	})
	return s
}

// disjoint returns the shards sorted by key range, without those that overlap a shard
// with more replicas. Overlaps come from targets with a wrong shard map.
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

func coveredKeys(s cowsliproute.Snapshot) uint32 {
	var n uint32
	for _, p := range s.Shards {
		n += p.Hi - p.Lo
	}
	return n
}
