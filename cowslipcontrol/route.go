package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
)

// Constants of hedging for routes.
const (
	// routeHedgePercentile causes one request in ten to be hedged, which is half of
	// what a retry budget of a fifth of the requests allows.
	routeHedgePercentile = 90
	// initialRouteHedgeShare and maxRouteHedgeShare are shares of a route's latency
	// target: the hedge delay with too few samples, and the longest delay after which
	// a second replica can still answer in time.
	initialRouteHedgeShare = 0.25
	maxRouteHedgeShare     = 0.4
	typicalPercentile      = 50
)

// route is a row of the table of routes.
type route struct {
	config         cowslipconfig.Route
	latency        *latencyRecorder
	hedgeDelay     time.Duration
	typical        time.Duration
	rotatedAt      time.Time
	hedgeUpdatedAt time.Time
}

// applyRoutes updates the table of routes to match the configuration.
func (c *Control) applyRoutes() {
	before := c.routes
	c.gatheredServices, c.latencyTargets = map[string]bool{}, map[string]time.Duration{}
	c.routes = map[string]*route{}
	for _, x := range c.config.Routes() {
		r := before[x.Name()]
		if r == nil {
			r = &route{latency: &latencyRecorder{}, hedgeDelay: scaled(x.LatencyTarget(), initialRouteHedgeShare)}
		}
		r.config = x
		for _, s := range x.Gather() {
			c.gatheredServices[s] = true
			c.latencyTargets[s] = max(c.latencyTargets[s], x.LatencyTarget())
		}
		for _, s := range x.Split() {
			c.latencyTargets[s.Service()] = max(c.latencyTargets[s.Service()], x.LatencyTarget())
		}
		c.routes[x.Name()] = r
	}
	c.routesDirty = true
	c.viewDirty = true
}

func scaled(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

func (c *Control) observeRoute(s Sample) {
	if r := c.routes[s.Route]; r != nil {
		r.latency.add(s.Latency)
	}
}

// runRouteHedging updates the hedge delay and typical latency of each route and
// rotates its latency windows.
func (c *Control) runRouteHedging(now time.Time) {
	for _, r := range c.routes {
		if now.Sub(r.hedgeUpdatedAt) < hedgeUpdateInterval {
			continue
		}
		r.hedgeUpdatedAt = now
		h, typical := scaled(r.config.LatencyTarget(), initialRouteHedgeShare), time.Duration(0)
		if q := r.latency.percentile(routeHedgePercentile); q > 0 {
			h = min(max(q, minHedgeDelay), scaled(r.config.LatencyTarget(), maxRouteHedgeShare))
			typical = r.latency.percentile(typicalPercentile)
		}
		if now.Sub(r.rotatedAt) >= latencyWindow {
			r.rotatedAt = now
			r.latency.rotate()
		}
		if h != r.hedgeDelay || typical != r.typical {
			r.hedgeDelay, r.typical = h, typical
			c.routesDirty = true
			c.viewDirty = true
		}
	}
}

// routeTable returns the routes for the view. It rebuilds them only if one has changed.
func (c *Control) routeTable() *cowsliproute.Table {
	if c.routesDirty || c.table == nil {
		c.routesDirty = false
		l := make([]*cowsliproute.Route, 0, len(c.routes))
		for _, x := range c.config.Routes() {
			r := c.routes[x.Name()]
			l = append(l, cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: r.config, HedgeAfter: r.hedgeDelay, MedianLatency: r.typical}))
		}
		c.table = cowsliproute.NewTable(l)
	}
	return c.table
}
