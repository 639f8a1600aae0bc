package cowsliproute

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"cowslipflow/cowslipconfig"
)

// Route is the routing state of a route of the operators' configuration. It is
// immutable.
type Route struct {
	config            cowslipconfig.Route
	hedgeAfter        time.Duration
	medianLatency     time.Duration
	cumulativeWeights []float64 // of the services in the config's split, for PickService
}

// RouteOptions are the contents of a Route.
type RouteOptions struct {
	Config        cowslipconfig.Route
	HedgeAfter    time.Duration // 0 disables hedging
	MedianLatency time.Duration // of a target's answer on this route; 0 if unknown
}

// NewRoute returns a route.
func NewRoute(o RouteOptions) *Route {
	r := &Route{config: o.Config, hedgeAfter: o.HedgeAfter, medianLatency: o.MedianLatency}
	sum := 0.0
	for _, s := range o.Config.Split() {
		sum += s.Weight()
		r.cumulativeWeights = append(r.cumulativeWeights, sum)
	}
	return r
}

// Config returns the route's part of the operators' configuration.
func (r *Route) Config() cowslipconfig.Route { return r.config }

// HedgeAfter returns how long to wait for an answer before asking a second replica.
func (r *Route) HedgeAfter() time.Duration { return r.hedgeAfter }

// MedianLatency returns the median latency of a target's answer on this route, or 0 if
// it is unknown.
func (r *Route) MedianLatency() time.Duration { return r.medianLatency }

// PickService returns the name of the service in the route's split that a draw selects.
// Draw is a random number, uniform in [0,1).
func (r *Route) PickService(draw float64) string {
	n := len(r.cumulativeWeights)
	if n == 0 {
		return ""
	}
	x := draw * r.cumulativeWeights[n-1]
	i, _ := slices.BinarySearchFunc(r.cumulativeWeights, x, func(w, x float64) int {
		if w <= x {
			return -1
		}
		return 1
	})
	return r.config.Split()[min(i, n-1)].Service()
}

// Table finds routes by host and longest path prefix. A nil Table has no routes. It is
// immutable.
type Table struct {
	byHost map[string][]*Route // longest prefix first
}

// NewTable returns a table of the given routes.
func NewTable(l []*Route) *Table {
	t := &Table{byHost: map[string][]*Route{}}
	for _, r := range l {
		t.byHost[r.config.Host()] = append(t.byHost[r.config.Host()], r)
	}
	for _, l := range t.byHost {
		slices.SortStableFunc(l, func(a, b *Route) int {
			return cmp.Compare(len(b.config.Prefix()), len(a.config.Prefix()))
		})
	}
	return t
}

// Find returns the route of the host with the longest prefix of the path, or nil if
// there is none. It ignores a port in host.
func (t *Table) Find(host, path string) *Route {
	if t == nil {
		return nil
	}
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.config.Prefix()) {
			return r
		}
	}
	return nil
}
