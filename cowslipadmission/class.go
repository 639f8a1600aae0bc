package cowslipadmission

import (
	"math"
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
	quietRise = 2
	// scarcityPower makes the level rise faster the lower it is. Instances that see the same
	// pressure so come to the same level.
	scarcityPower = 0.25
	// urgentTolerance is the pressure that the most urgent class tolerates, in multiples of
	// what the least urgent one does. Classes in between are spaced evenly.
	urgentTolerance = 1.3
	// maxLevel is the level of a class without pressure. From there to 1 it takes a pressure
	// that lasts, longer than that of a burst that targets can queue.
	maxLevel = 4
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
	for k, f := range c.flows {
		r := f.arrivals.rate(now)
		if r < idleRate {
			delete(c.flows, k)
		}
		c.demand += r
	}
	return n - len(c.flows)
}

// divide shares what the class may admit among its workspaces, by weight, and what each of
// them gets among failure domains.
func (c *class) divide(now time.Time, floor, change float64) {
	type member struct {
		claim claim
		flow  *flow
	}
	members := map[string][]*member{}
	totals := map[string]*claim{}
	var all []*claim
	for k, f := range c.flows {
		m := &member{claim{demand: f.arrivals.rate(now), weight: 1}, f}
		t := totals[k.workspace]
		if t == nil {
			t = &claim{}
			totals[k.workspace] = t
			all = append(all, t)
		}
		t.demand += m.claim.demand
		t.weight = f.weight
		members[k.workspace] = append(members[k.workspace], m)
	}
	divide(all, c.admitted(floor, change)*c.demand, floor)
	for n, l := range members {
		domains := make([]*claim, len(l))
		for i, m := range l {
			domains[i] = &m.claim
		}
		divide(domains, totals[n].share*totals[n].demand, floor)
		for _, m := range l {
			m.flow.share = m.claim.share
		}
	}
}
