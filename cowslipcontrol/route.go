package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
)

// Constants of hedging on routes.
const (
	// routeHedgeQuantile leaves one request in ten to be hedged, half of what a
	// retry budget of a fifth allows.
	routeHedgeQuantile = 90
	// firstRouteHedge and maxRouteHedge are shares of a route's latency target:
	// the hedge without samples, and the latest at which a second replica still
	// answers in time.
	firstRouteHedge = 0.25
	maxRouteHedge   = 0.4
	typicalQuantile = 50
)

// route is a row of the table of routes.
type route struct {
	config  cowslipconfig.Route
	latency *latencies
	hedge   time.Duration
	typical time.Duration
	rotated time.Time
	derived time.Time
}

// applyRoutes brings the table of routes in line with the configuration.
func (c *Control) applyRoutes() {
	before := c.routes
	c.gathered, c.patience = map[string]bool{}, map[string]time.Duration{}
	c.routes = map[string]*route{}
	for _, x := range c.config.Routes() {
		r := before[x.Name()]
		if r == nil {
			r = &route{latency: &latencies{}, hedge: part(x.LatencyTarget(), firstRouteHedge)}
		}
		r.config = x
		for _, s := range x.Gather() {
			c.gathered[s] = true
			c.patience[s] = max(c.patience[s], x.LatencyTarget())
		}
		for _, s := range x.Split() {
			c.patience[s.Service()] = max(c.patience[s.Service()], x.LatencyTarget())
		}
		c.routes[x.Name()] = r
	}
	c.routesDirty = true
	c.viewDirty = true
}

func part(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

func (c *Control) observeRoute(s Sample) {
	if r := c.routes[s.Route]; r != nil {
		r.latency.add(s.Latency)
	}
}

// runRoutes turns the windows of latencies and derives when to hedge.
func (c *Control) runRoutes(now time.Time) {
	for _, r := range c.routes {
		if now.Sub(r.derived) < latencyStep {
			continue
		}
		r.derived = now
		h, typical := part(r.config.LatencyTarget(), firstRouteHedge), time.Duration(0)
		if q := r.latency.quantile(routeHedgeQuantile); q > 0 {
			h = min(max(q, minHedgeAfter), part(r.config.LatencyTarget(), maxRouteHedge))
			typical = r.latency.quantile(typicalQuantile)
		}
		if now.Sub(r.rotated) >= latencyWindow {
			r.rotated = now
			r.latency.rotate()
		}
		if h != r.hedge || typical != r.typical {
			r.hedge, r.typical = h, typical
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
			l = append(l, cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: r.config, HedgeAfter: r.hedge, MedianLatency: r.typical}))
		}
		c.table = cowsliproute.NewTable(l)
	}
	return c.table
}
