package cowslipentry

import (
	"maps"
	"math/bits"
	"strconv"
	"sync"
	"time"
)

// maxRouteMetrics limits the routes with counters of their own. Further routes are
// counted together as otherRoutes.
const (
	maxRouteMetrics = 500
	otherRoutes     = "(others)"
)

// RouteMetrics are the counters of one route.
type RouteMetrics struct {
	Outcomes     map[ReplyKind]int64 `json:"outcomes"`     // requests by the kind of their answer
	PartsNeeded  int64               `json:"partsNeeded"`  // parts that the requests needed, without requests that a relay served
	PartsMissing int64               `json:"partsMissing"` // parts missing from merged answers
	Sent         int64               `json:"sent"`         // requests sent to targets, including retries and hedges
	UpToMillis   map[string]int64    `json:"upToMillis"`   // requests by latency; each key is the exclusive upper bound of a bucket, a power of two
}

// routeTable counts requests by route. Its zero value is empty; it is safe for
// concurrent use.
type routeTable struct {
	mu     sync.Mutex
	routes map[string]*RouteMetrics
}

// observe counts a request that has ended.
func (t *routeTable) observe(route string, x Reply, took time.Duration, parts, sent int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.routes == nil {
		t.routes = map[string]*RouteMetrics{}
	}
	m := t.routes[route]
	if m == nil {
		if len(t.routes) >= maxRouteMetrics {
			route = otherRoutes
		}
		if m = t.routes[route]; m == nil {
			m = &RouteMetrics{Outcomes: map[ReplyKind]int64{}, UpToMillis: map[string]int64{}}
			t.routes[route] = m
		}
	}
	m.Outcomes[x.Kind]++
	m.PartsNeeded += int64(parts)
	m.PartsMissing += int64(x.Missing)
	m.Sent += int64(sent)
	m.UpToMillis[strconv.Itoa(1<<bits.Len64(uint64(max(took.Milliseconds(), 0))))]++
}

// snapshot returns a copy of the counters by route.
func (t *routeTable) snapshot() map[string]RouteMetrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := make(map[string]RouteMetrics, len(t.routes))
	for n, m := range t.routes {
		x := *m
		x.Outcomes, x.UpToMillis = maps.Clone(m.Outcomes), maps.Clone(m.UpToMillis)
		c[n] = x
	}
	return c
}
