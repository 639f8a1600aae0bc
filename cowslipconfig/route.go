package cowslipconfig

import (
	"fmt"
	"strings"
	"time"
)

// Least values and defaults of a route.
const (
	defaultAttempts       = 2
	minTimeout            = time.Millisecond
	defaultLatencyDivisor = 5 // the latency target defaults to 1/5 of the timeout
)

// Route says how requests with a given host and path prefix are forwarded.
type Route struct {
	name          string
	host          string
	prefix        string
	once          bool
	split         []Share
	gather        []string
	top           int
	minCoverage   float64
	attempts      int
	timeout       time.Duration
	latencyTarget time.Duration
	priority      int
	public        bool
}

// Share is a service of a split, with its weight.
type Share struct {
	service string
	weight  float64
}

// Service names the service.
func (s Share) Service() string { return s.service }

// Weight is the service's weight; requests are divided in proportion to it.
func (s Share) Weight() float64 { return s.weight }

// Name is the route's name.
func (r Route) Name() string { return r.name }

// Host is the host of the requests that the route matches, in lowercase.
func (r Route) Host() string { return r.host }

// Prefix is the path prefix of the requests that the route matches. It begins and
// ends with a slash.
func (r Route) Prefix() string { return r.prefix }

// Once reports whether a request must not be executed more than once.
func (r Route) Once() bool { return r.once }

// Split lists the services among which requests are divided. It is empty for a
// gathering route, which is a route with a non-empty Gather.
func (r Route) Split() []Share { return r.split }

// Gather lists the shards that every request fans out to. Each shard is a
// service.
func (r Route) Gather() []string { return r.gather }

// Top is the number of records in the answer of a gathering route.
func (r Route) Top() int { return r.top }

// MinCoverage is the fraction of shards that must answer; below it, a gathering
// route returns an error instead of an answer.
func (r Route) MinCoverage() float64 { return r.minCoverage }

// Attempts limits how many replicas of each shard may run a request. Replicas that
// are known not to have run it do not count.
func (r Route) Attempts() int { return r.attempts }

// Timeout bounds the time until the caller gets an answer.
func (r Route) Timeout() time.Duration { return r.timeout }

// LatencyTarget is the time within which a request should be answered. A later
// answer is still useful to the caller, but less so.
func (r Route) LatencyTarget() time.Duration { return r.latencyTarget }

// Priority is the route's rank under overload. Unlike a class's priority, 0 is the
// highest: it is shed last.
func (r Route) Priority() int { return r.priority }

// Public reports whether requests are served without a key, if the configuration has
// workspaces.
func (r Route) Public() bool { return r.public }

func (k *checker) buildRoutes(c *Config, l []RouteSpec) {
	names := map[string]bool{}
	kinds := make(map[string]Kind, len(c.services))
	for _, s := range c.services {
		kinds[s.name] = s.kind
	}
	for i, r := range l {
		c.routes = append(c.routes, k.buildRoute(fmt.Sprintf("routes[%d]", i), r, names, kinds))
	}
}

func (k *checker) buildRoute(p string, r RouteSpec, names map[string]bool, kinds map[string]Kind) Route {
	k.checkName(p, r.Name, names)
	x := Route{
		name: r.Name, host: strings.ToLower(r.Host), prefix: r.Prefix, once: r.Once, gather: r.Gather, top: r.Top, minCoverage: r.MinCoverage, priority: r.Priority, public: r.Public,
		attempts: orDefault(r.Attempts, defaultAttempts), timeout: orDefault(time.Duration(r.Timeout), defaultDeadline),
	}
	x.latencyTarget = orDefault(time.Duration(r.LatencyTarget), x.timeout/defaultLatencyDivisor)
	if r.Host == "" {
		k.add(p+".host", "missing", "name the host of the route's requests")
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		k.add(p+".prefix", fmt.Sprintf("invalid path prefix %q", r.Prefix), "begin and end it with a slash")
	}
	k.checkDestination(p, r, &x, kinds)
	k.checkRange(p+".attempts", x.attempts, 1, k.limits.attempts)
	k.checkRange(p+".top", x.top, 0, k.limits.records)
	k.checkDuration(p+".timeout", x.timeout, minTimeout, k.limits.deadline)
	k.checkDuration(p+".latencyTarget", x.latencyTarget, minTimeout, k.limits.deadline)
	if !(x.minCoverage >= 0 && x.minCoverage <= 1) {
		k.add(p+".minCoverage", fmt.Sprintf("%v is out of range", x.minCoverage), "write a fraction from 0 to 1")
	}
	return x
}

// checkDestination checks that a route has exactly one of service, split and
// gather, and that each service it names is narrow. It sets the route's split.
func (k *checker) checkDestination(p string, r RouteSpec, x *Route, kinds map[string]Kind) {
	n := 0
	if r.Service != "" {
		n++
		x.split = []Share{{service: r.Service, weight: 1}}
	}
	if len(r.Split) > 0 {
		n++
		for _, s := range r.Split {
			x.split = append(x.split, Share{service: s.Service, weight: s.Weight})
		}
	}
	if len(r.Gather) > 0 {
		n++
	}
	if n != 1 {
		k.add(p, "the route has no destination or more than one", "write one of service, split and gather")
	}
	if len(r.Gather) > 0 && r.Once {
		k.add(p+".once", "a gathering route sends each request to several targets", "leave it out")
	}
	seen := map[string]bool{}
	for _, s := range append(shareNames(x.split), r.Gather...) {
		if kinds[s] != Narrow {
			k.add(p, fmt.Sprintf("%q is not a narrow service of this configuration", s), "name services of kind narrow")
		}
		if seen[s] {
			k.add(p, fmt.Sprintf("%q is listed twice", s), "name each service once")
		}
		seen[s] = true
	}
	sum := 0.0
	for _, s := range x.split {
		if !(s.weight >= 0 && s.weight <= k.limits.weight) {
			k.add(p+".split", fmt.Sprintf("weight %v of %q is out of range", s.weight, s.service), "write a number of at least 0")
		}
		sum += s.weight
	}
	if len(x.split) > 0 && !(sum > 0) {
		k.add(p+".split", "all weights are 0", "give at least one service a weight greater than 0")
	}
}

func shareNames(l []Share) []string {
	n := make([]string, len(l))
	for i, s := range l {
		n[i] = s.service
	}
	return n
}
