package cowsliproute

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"cowslipflow/cowslipconfig"
)

// Route is a route of the operators' text as requests see it. It is immutable.
type Route struct {
	config            cowslipconfig.Route
	hedgeAfter        time.Duration
	medianLatency     time.Duration
	cumulativeWeights []float64 // cumulative, of the split
}

// RouteOptions are the content of a Route.
type RouteOptions struct {
	Config        cowslipconfig.Route
	HedgeAfter    time.Duration // 0 turns hedging off
	MedianLatency time.Duration // median latency of a target's answer on this route, 0 if not known
}

// NewRoute makes a route.
func NewRoute(o RouteOptions) *Route {
	r := &Route{config: o.Config, hedgeAfter: o.HedgeAfter, medianLatency: o.MedianLatency}
	sum := 0.0
	for _, s := range o.Config.Split() {
		sum += s.Weight()
		r.cumulativeWeights = append(r.cumulativeWeights, sum)
	}
	return r
}

// Config is what the operators' text says of the route.
func (r *Route) Config() cowslipconfig.Route { return r.config }

// HedgeAfter is how long to wait for an answer before asking a second replica.
func (r *Route) HedgeAfter() time.Duration { return r.hedgeAfter }

// MedianLatency is the median latency of a target's answer on this route, 0 if it is
// not known.
func (r *Route) MedianLatency() time.Duration { return r.medianLatency }

// PickService names the service of a split for a draw that is uniform in [0,1).
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

// Table finds routes by host and longest prefix. Its nil value holds none. It
// is immutable.
type Table struct {
	byHost map[string][]*Route // the longest prefix first
}

// NewTable makes a table.
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

// Find gives the route of that host with the longest prefix that begins the
// path, or nil. A port behind the host does not count.
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
