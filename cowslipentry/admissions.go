package cowslipentry

import (
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cowslipflow/cowslipadmission"
	"cowslipflow/cowsliproute"
)

// Limits of the pools of an instance.
const (
	// poolRetention is how long a pool without requests is kept.
	poolRetention = 10 * time.Minute
	// admissionLogInterval is the time between two log lines of a pool.
	admissionLogInterval = time.Second
	// maxCost limits the cost of a request, in units of the cheapest route of the pool.
	maxCost = 100
)

// admissions holds the admission pools of an instance by the services that requests compete
// for. The zero value is empty; it is safe for concurrent use.
type admissions struct {
	mu     sync.Mutex
	pools  map[string]*admissionPool // by the sorted names of the services
	routes map[string]routePool      // of routes that gather
	stated atomic.Bool               // a target has stated its slowdown: targets share machines with others
}

// routePool is the pool of a route that gathers from services.
type routePool struct {
	services []string
	pool     *admissionPool
}

// pool returns the pool of the services that a request of a route asks.
func (a *admissions) pool(now time.Time, route string, services []string) *admissionPool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.pools == nil {
		a.pools, a.routes = map[string]*admissionPool{}, map[string]routePool{}
	}
	r := a.routes[route]
	switch {
	case len(services) == 1:
		r.pool = a.find(now, services[0], services)
	case r.pool == nil || !slices.Equal(r.services, services):
		r = routePool{services, a.find(now, poolKey(services), services)}
		a.routes[route] = r
	}
	r.pool.usedAt = now
	return r.pool
}

// peek returns the pool of the services if it exists, else nil. It changes nothing.
func (a *admissions) peek(services []string) *admissionPool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.pools[poolKey(services)]
}

// poolKey identifies the pool of a set of services.
func poolKey(services []string) string {
	return strings.Join(slices.Sorted(slices.Values(services)), "\x00")
}

// find returns the pool with a key. If it makes a new one, it drops those that are not in use
// any more.
func (a *admissions) find(now time.Time, key string, services []string) *admissionPool {
	if p := a.pools[key]; p != nil {
		return p
	}
	for n, o := range a.pools {
		if now.Sub(o.usedAt) > poolRetention {
			delete(a.pools, n)
		}
	}
	for n, o := range a.routes {
		if now.Sub(o.pool.usedAt) > poolRetention {
			delete(a.routes, n)
		}
	}
	p := &admissionPool{name: poolName(services), usedAt: now}
	a.pools[key] = p
	return p
}

// status returns the states of the pools that are in use.
func (a *admissions) status(now time.Time) map[string]cowslipadmission.Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	m := map[string]cowslipadmission.Status{}
	for _, p := range a.pools {
		if p.used.Load() {
			m[p.name] = p.Status(now)
		}
	}
	return m
}

// poolName names a pool for operators.
func poolName(services []string) string {
	if n := len(services); n > 1 {
		return fmt.Sprintf("%s and %d more", services[0], n-1)
	}
	return strings.Join(services, "")
}

// admissionPool is the admission pool of a set of services.
type admissionPool struct {
	cowslipadmission.Pool
	name   string
	usedAt time.Time   // protected by admissions.mu
	used   atomic.Bool // admission has been in use

	mu       sync.Mutex
	medians  map[string]time.Duration // by route
	limited  bool                     // as last logged
	loggedAt time.Time
}

// use reports whether requests to a pool need admission, and records it: targets are scarce or
// share their machines with others, or workspaces compete.
func (a *admissions) use(p *admissionPool, v *cowsliproute.View, scarce bool) bool {
	if scarce || a.stated.Load() || v.Workspaces().Len() > 0 {
		p.used.Store(true)
	}
	return p.used.Load()
}

// cost returns the cost of a request of a route: its median latency at targets, in units of
// the least of the pool's routes.
func (p *admissionPool) cost(route string, median time.Duration) float64 {
	if median <= 0 {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.medians == nil {
		p.medians = map[string]time.Duration{}
	}
	p.medians[route] = median
	least := median
	for _, m := range p.medians {
		least = min(least, m)
	}
	return min(float64(median)/float64(least), maxCost)
}

// logChange logs that the pool became limited or is not any more, at most once in
// admissionLogInterval.
func (p *admissionPool) logChange(now time.Time, l *slog.Logger) {
	limited := p.Limited()
	p.mu.Lock()
	defer p.mu.Unlock()
	if limited == p.limited || now.Sub(p.loggedAt) < admissionLogInterval {
		return
	}
	p.limited, p.loggedAt = limited, now
	s := p.Status(now)
	name := "poolLimited"
	if !limited {
		name = "poolUnlimited"
	}
	l.Info(name, "pool", p.name, "demand", s.Demand, "rate", s.Rate, "inTime", s.InTime, "pressure", s.Pressure)
}
