package cowslipadmission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Constants of the admitted level of a class.
const (
	// riseRate and fallRate set how fast the logarithm of the level follows the pressure, per
	// second. The level is steady at a pressure of riseRate/fallRate times the scarcity.
	riseRate = 0.2
	fallRate = 0.3
	// calmRise multiplies riseRate while there is no pressure at all.
	calmRise = 3
	// quietRise replaces riseRate once there has been little pressure for some time, so that
	// refusals end soon after the demand has fallen.
	quietRise = 3
	// scarcityPower makes the level rise faster the lower it is. Instances that see the same
	// pressure so come to the same level.
	scarcityPower = 0.25
	// urgentTolerance is the pressure that the most urgent class tolerates, in multiples of
	// what the least urgent one does. Classes in between are spaced evenly.
	urgentTolerance = 1.25
	// maxLevel is the level of a class without pressure. From there to 1 it takes a pressure
	// that lasts, longer than that of a burst that targets can queue.
	maxLevel = 5
	minLevel = 0.001
	// leastOfServed bounds the level from below, as a share of what is answered in time.
	leastOfServed = 0.8
)

// class is the state of all requests of one priority.
type class struct {
	priority int
	level    float64 // share of its requests that is admitted; all from 1 on
	demand   float64 // cost per second
	served   meter   // cost answered in time
	flows    map[flowKey]*flow
}

// tolerance returns the factor of the pressure that class i of n tolerates, the most urgent
// one being class 0.
func tolerance(i, n int) float64 {
	if n < 2 {
		return 1
	}
	return math.Pow(urgentTolerance, float64(n-1-i)/float64(n-1))
}

// step returns by how much a pressure that lasted some seconds changes the logarithm of the
// level.
func (c *class) step(seconds, pressure float64, quiet bool) float64 {
	scarcity := math.Pow(min(c.level, 1), -scarcityPower)
	rise := riseRate * scarcity * (1 + (calmRise-1)*max(1-pressure, 0))
	if quiet {
		rise = max(rise, quietRise)
	}
	return seconds * (rise - fallRate*pressure)
}

// change changes the logarithm of the level.
func (c *class) change(now time.Time, step, floor float64) {
	least := minLevel
	if c.demand > 0 {
		if s := leastOfServed * min(c.served.rate(now)/c.demand, 1); s > floor {
			least = s
		}
	}
	c.level = min(max(c.level*math.Exp(step), least), maxLevel)
}

// admitted returns the share of the class's requests that is admitted.
func (c *class) admitted(floor, change float64) float64 {
	return min(max(c.level*change, floor), 1)
}

// measure updates the demand. It forgets flows without requests and returns how many.
func (c *class) measure(now time.Time) int {
	n := len(c.flows)
	c.demand = 0
	for _, k := range c.sorted() {
		r := c.flows[k].arrivals.rate(now)
		if r < idleRate {
			delete(c.flows, k)
		}
		c.demand += r
	}
	return n - len(c.flows)
}

// sorted returns the keys of the flows in a fixed order, so that the same requests always
// lead to the same decisions.
func (c *class) sorted() []flowKey {
	return slices.SortedFunc(maps.Keys(c.flows), func(a, b flowKey) int {
		return cmp.Or(cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.domain, b.domain))
	})
}

// divide shares what the class may admit among its workspaces, by weight, and what each of
// them gets among failure domains.
func (c *class) divide(now time.Time, floor, change float64) {
	var workspaces, domains []*claim
	var flows []*flow // with the claims in domains
	for i, k := range c.sorted() {
		f := c.flows[k]
		if i == 0 || k.workspace != flows[i-1].workspace {
			workspaces = append(workspaces, &claim{weight: f.weight})
		}
		w := workspaces[len(workspaces)-1]
		d := &claim{demand: f.arrivals.rate(now), weight: 1, of: w}
		w.demand += d.demand
		domains, flows = append(domains, d), append(flows, f)
	}
	divide(workspaces, c.admitted(floor, change)*c.demand, floor)
	for first := 0; first < len(domains); {
		w, next := domains[first].of, first+1
		for next < len(domains) && domains[next].of == w {
			next++
		}
		divide(domains[first:next], w.share*w.demand, floor)
		first = next
	}
	for i, f := range flows {
		f.share = domains[i].share
	}
}
