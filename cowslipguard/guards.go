package cowslipguard

import (
	"maps"
	"sync"
	"time"
)

// Guards are the guards of all sets of shards. The zero value is ready to use. It is safe for
// concurrent use.
type Guards struct {
	mu     sync.Mutex
	guards map[string]*Guard // by service; sets that share a service have one guard
}

// Of returns the guard of the given services.
func (g *Guards) Of(services ...string) *Guard {
	g.mu.Lock()
	defer g.mu.Unlock()
	var x *Guard
	for _, s := range services {
		y := g.guards[s]
		switch {
		case y == nil, y == x:
		case x == nil:
			x = y
		default:
			x.merge(y)
			for n, z := range g.guards {
				if z == y {
					g.guards[n] = x
				}
			}
		}
	}
	if x == nil {
		x = &Guard{}
	}
	if g.guards == nil {
		g.guards = map[string]*Guard{}
	}
	for _, s := range services {
		g.guards[s] = x
	}
	return x
}

// Plan returns what Of(shards...).Plan would return, and changes nothing.
func (g *Guards) Plan(now time.Time, request uint64, shards []string, minCoverage float64) Plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	// Of merges guards into the first one, which takes over what a later alert knows.
	var x *Guard
	for _, s := range shards {
		if y := g.guards[s]; y != nil && (x == nil || y.end().After(x.end())) {
			x = y
		}
	}
	if x == nil {
		return Plan{}
	}
	return x.Plan(now, request, shards, minCoverage)
}

// Retain forgets the guards of services that are no longer configured.
func (g *Guards) Retain(configured func(service string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.guards, func(s string, _ *Guard) bool { return !configured(s) })
}
