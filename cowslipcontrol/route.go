package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
)

// Constants of hedging on routes.
const (
	// routeHedgePercentile leaves one request in ten to be hedged, half of what a
	// retry budget of a fifth allows.
	routeHedgePercentile = 90
	// initialRouteHedgeShare and maxRouteHedge are shares of a route's latency target:
	// the hedge without samples, and the latest at which a second replica still
	// answers in time.
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

// applyRoutes brings the table of routes in line with the configuration.
func (c *Control) applyRoutes() {
	before := c.routes
	c.gatheredServices, c.latencyTargets = map[string]bool{}, map[string]time.Duration{}
	c.routes = map[string]*route{}
	for _, x := range c.config.Routes() {
		r := before[x.Name()]
		if r == nil {
			r = &route{latency: &latencyRecorder{}, hedgeDelay: scaled(x.Latency(), initialRouteHedgeShare)}
		}
		r.config = x
		for _, s := range x.Gather() {
			c.gatheredServices[s] = true
			c.latencyTargets[s] = max(c.latencyTargets[s], x.Latency())
		}
		for _, s := range x.Split() {
			c.latencyTargets[s.Service()] = max(c.latencyTargets[s.Service()], x.Latency())
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

// runRouteHedging turns the windows of latencies and derives when to hedge.
func (c *Control) runRouteHedging(now time.Time) {
	for _, r := range c.routes {
		if now.Sub(r.hedgeUpdatedAt) < hedgeUpdateInterval {
			continue
		}
		r.hedgeUpdatedAt = now
		h, typical := scaled(r.config.Latency(), initialRouteHedgeShare), time.Duration(0)
		if q := r.latency.quantile(routeHedgePercentile); q > 0 {
			h = min(max(q, minHedgeDelay), scaled(r.config.Latency(), maxRouteHedgeShare))
			typical = r.latency.quantile(typicalPercentile)
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

// routeTable builds the routes as requests see them, anew only if one changed.
func (c *Control) routeTable() *cowsliproute.Table {
	if c.routesDirty || c.table == nil {
		c.routesDirty = false
		l := make([]*cowsliproute.Route, 0, len(c.routes))
		for _, x := range c.config.Routes() {
			r := c.routes[x.Name()]
			l = append(l, cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: r.config, HedgeAfter: r.hedgeDelay, Typical: r.typical}))
		}
		c.table = cowsliproute.NewTable(l)
	}
	return c.table
}
