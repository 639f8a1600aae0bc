package cowslipconfig

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Import returns a configuration that another system has accepted in a form that Parse accepts.
// What can be used is kept: a number out of range is replaced by the nearest one, and only the
// entry that cannot be used is left out. A route without a usable destination stays, so that its
// requests do not follow a route with a shorter prefix. The problems say what was changed.
func (d Spec) Import() (Spec, Problems) {
	k := &importer{services: map[string]bool{}}
	d.Imported = true
	d.FailureDomains = k.importDomains(d.FailureDomains)
	d.Services = k.importServices(d.Services)
	if len(d.Services) > 0 {
		k.extraLoad = d.Services[0].ExtraLoad
	}
	d.Routes = k.importRoutes(d.Routes)
	d.Moves = k.importMoves(d.Moves)
	d.Services = append(d.Services, k.added...)
	return d, k.problems
}

// maxImportedWeight limits the weights of an imported split, so that their sum is finite.
const maxImportedWeight = 1e300

type importer struct {
	services  map[string]bool // by name, listed or added
	added     []ServiceSpec   // services that only routes name
	extraLoad *float64        // of these
	problems  Problems
}

func (k *importer) add(path, message, hint string) {
	k.problems = append(k.problems, Problem{Field: path, Message: message, Hint: hint})
}

// nearest returns the value from low to high that is nearest to v.
func nearest[T cmp.Ordered](k *importer, path string, v, low, high T) T {
	n := max(low, min(v, high))
	if n != v {
		k.add(path, fmt.Sprintf("%v is out of range", v), fmt.Sprintf("%v is used", n))
	}
	return n
}

// name returns a name that stands for one that may be invalid. Nothing else has it then.
func (k *importer) name(path, name string) string {
	if importLimits.name(name) {
		return name
	}
	n := fmt.Sprintf("(%q)", name)
	k.add(path, fmt.Sprintf("invalid name %q", name), n+" is used")
	return n
}

func (k *importer) importDomains(l []FailureDomainSpec) []FailureDomainSpec {
	var r []FailureDomainSpec
	seen := map[string]bool{}
	for i, x := range l {
		if x.Name = k.name(fmt.Sprintf("failureDomains[%d].name", i), x.Name); !seen[x.Name] {
			seen[x.Name] = true
			r = append(r, x)
		}
	}
	return r
}

func (k *importer) importServices(l []ServiceSpec) []ServiceSpec {
	var r []ServiceSpec
	for i, x := range l {
		p := fmt.Sprintf("services[%d]", i)
		if x.Name = k.name(p+".name", x.Name); k.services[x.Name] {
			k.add(p+".name", fmt.Sprintf("duplicate name %q", x.Name), "the entry is left out")
			continue
		}
		k.services[x.Name] = true
		if x.Connections != 0 {
			x.Connections = nearest(k, p+".connections", x.Connections, 1, importLimits.connections)
		}
		x.WarmTime = nearest(k, p+".warmTime", x.WarmTime, 0, Duration(importLimits.warmTime))
		x.ColdRate = nearest(k, p+".coldRate", x.ColdRate, 0, importLimits.coldRate)
		if x.ExtraLoad != nil {
			n := nearest(k, p+".extraLoad", *x.ExtraLoad, 0, 1)
			x.ExtraLoad = &n
		}
		r = append(r, x)
	}
	return r
}

// service returns the name of a service that a route names, and adds the service if it is not
// listed: it may have targets all the same.
func (k *importer) service(path, name string) string {
	if name = k.name(path, name); !k.services[name] {
		k.add(path, fmt.Sprintf("no service %q", name), "one with default settings is used")
		k.services[name] = true
		k.added = append(k.added, ServiceSpec{Name: name, Kind: string(Narrow), ExtraLoad: k.extraLoad})
	}
	return name
}

func (k *importer) importRoutes(l []RouteSpec) []RouteSpec {
	var r []RouteSpec
	names := map[string]bool{}
	for i, x := range l {
		p := fmt.Sprintf("routes[%d]", i)
		if x.Host == "" || !strings.HasPrefix(x.Prefix, "/") {
			k.add(p, fmt.Sprintf("no request has the host %q and the path prefix %q", x.Host, x.Prefix), "the entry is left out")
			continue
		}
		if !strings.HasSuffix(x.Prefix, "/") {
			k.add(p+".prefix", fmt.Sprintf("path prefix %q does not end with a slash", x.Prefix), "one is appended")
			x.Prefix += "/"
		}
		x.Name = k.routeName(p, x, names)
		k.importDestination(p, &x)
		if x.Attempts != 0 {
			x.Attempts = nearest(k, p+".attempts", x.Attempts, 1, importLimits.attempts)
		}
		x.Top = nearest(k, p+".top", x.Top, 0, importLimits.records)
		x.MinCoverage = nearest(k, p+".minCoverage", x.MinCoverage, 0, 1)
		k.importTimes(p, &x)
		r = append(r, x)
	}
	return r
}

// routeName returns a valid name that no earlier route has.
func (k *importer) routeName(path string, r RouteSpec, names map[string]bool) string {
	n := r.Name
	if !importLimits.name(n) || names[n] {
		n = r.Host + r.Prefix
		for i := 2; !importLimits.name(n) || names[n]; i++ {
			n = fmt.Sprintf("%q %d", r.Host+r.Prefix, i)
		}
		k.add(path+".name", fmt.Sprintf("invalid or duplicate name %q", r.Name), fmt.Sprintf("%q is used", n))
	}
	names[n] = true
	return n
}

func (k *importer) importTimes(path string, r *RouteSpec) {
	high := Duration(importLimits.deadline)
	if r.Timeout != 0 {
		r.Timeout = nearest(k, path+".timeout", r.Timeout, Duration(minTimeout), high)
	}
	if r.LatencyTarget != 0 {
		r.LatencyTarget = nearest(k, path+".latencyTarget", r.LatencyTarget, Duration(minTimeout), high)
		return
	}
	t := orDefault(time.Duration(r.Timeout), defaultDeadline)
	r.LatencyTarget = Duration(max(t/defaultLatencyDivisor, minTimeout))
}

// importDestination leaves a route with exactly one of service, split and gather.
func (k *importer) importDestination(path string, r *RouteSpec) {
	n := 0
	for _, given := range []bool{r.Service != "", len(r.Split) > 0, len(r.Gather) > 0} {
		if given {
			n++
		}
	}
	if n == 1 {
		k.importGather(path, r)
		r.Split = k.importSplit(path, r.Split)
		if r.Service != "" {
			r.Service = k.service(path+".service", r.Service)
		}
	}
	if n != 1 || r.Service == "" && len(r.Split) == 0 && len(r.Gather) == 0 {
		k.add(path, "the route has no destination or more than one", "its requests are not served")
		r.Service, r.Split, r.Gather = "", nil, nil
		r.Service = k.service(path, fmt.Sprintf("(no destination of route %q)", r.Name))
	}
}

func (k *importer) importGather(path string, r *RouteSpec) {
	if len(r.Gather) == 0 {
		return
	}
	if r.Once {
		k.add(path+".once", "a gathering route sends each request to several targets", "its requests may run more than once")
		r.Once = false
	}
	var l []string
	seen := map[string]bool{}
	for _, n := range r.Gather {
		if n = k.service(path+".gather", n); seen[n] {
			k.add(path+".gather", fmt.Sprintf("%q is listed twice", n), "it is asked once")
			continue
		}
		seen[n] = true
		l = append(l, n)
	}
	r.Gather = l
}

// importSplit returns a split in the same proportions, nil if no service has a weight.
func (k *importer) importSplit(path string, l []ShareSpec) []ShareSpec {
	var r []ShareSpec
	greatest := 0.0
	for _, x := range l {
		x.Service = k.service(path+".split", x.Service)
		x.Weight = nearest(k, path+".split", x.Weight, 0, maxImportedWeight)
		i := slices.IndexFunc(r, func(y ShareSpec) bool { return y.Service == x.Service })
		if i < 0 {
			i = len(r)
			r = append(r, ShareSpec{Service: x.Service})
		} else {
			k.add(path+".split", fmt.Sprintf("%q is listed twice", x.Service), "the weights are added")
		}
		r[i].Weight += x.Weight
		greatest = max(greatest, r[i].Weight)
	}
	if greatest == 0 {
		return nil
	}
	if greatest > importLimits.weight {
		k.add(path+".split", fmt.Sprintf("weight %v is out of range", greatest), "all weights are divided alike")
		for i := range r {
			r[i].Weight /= greatest
		}
	}
	return r
}

// importMoves returns the moves that have an order, a version and a duration.
func (k *importer) importMoves(l []MoveSpec) []MoveSpec {
	var r []MoveSpec
	seen := map[string]bool{}
	for i, x := range l {
		p := fmt.Sprintf("moves[%d]", i)
		if !k.services[x.Service] {
			continue // the service may be listed later
		}
		if seen[x.Service] || x.To == "" || x.Within <= 0 || x.Order == 0 {
			k.add(p, fmt.Sprintf("no move of service %q", x.Service), "the entry is left out")
			continue
		}
		seen[x.Service] = true
		x.Within = nearest(k, p+".within", x.Within, 0, Duration(importLimits.deadline))
		r = append(r, x)
	}
	return r
}
