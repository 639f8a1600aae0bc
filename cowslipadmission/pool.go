package cowslipadmission

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Bounds of a pool's state.
const (
	// maxStep bounds the time that one window stands for.
	maxStep = 500 * time.Millisecond
	// idleTime is how long a pool must be without evidence until it is no longer limited.
	idleTime = 3 * time.Second
	// usualTime is the time over which the usual demand is estimated.
	usualTime  = 5 * time.Second
	usualRange = 1.5
	// severePressure is the pressure from which all classes are cut at once, if it lasts for
	// severeWindows: a single window of an instance with few requests may show it by chance.
	severePressure = 8
	severeWindows  = 2
	// swapRate is how fast the logarithm of a class's level falls, per second, while a more
	// urgent one is not open and the pressure is above swapPressure.
	swapRate     = 1
	swapPressure = 0.5
	// quietPressure is the pressure below which a pool is quiet: after quietTime, in seconds,
	// or after fallenTime if the demand is below fallenShare of the usual one. By chance an
	// instance with few requests sees as little for shorter times during an overload.
	quietPressure = 0.4
	quietTime     = 2
	fallenTime    = 0.5
	fallenShare   = 0.7
	// negligible is the share of the demand below which a class is neither cut nor opened
	// before others are.
	negligible = 0.01
	// floorSlack is how close to its least level a class counts as cut. That is a floorDepth-th of
	// the floor, so that more urgent classes are cut only if the pressure lasts.
	floorSlack = 1.1
	floorDepth = 1.5
	// maxFlows bounds the flows of a pool. The requests of further ones count together.
	maxFlows   = 1024
	otherFlows = "(others)"
	// idleRate is the rate of arrivals below which a flow is forgotten.
	idleRate = 0.001
)

// Pool decides the admission to a set of services that requests compete for. The zero value
// admits every request until there is evidence of overload. It is safe for concurrent use.
type Pool struct {
	// Rand returns a random number, uniform in [0,1). It is that of math/rand/v2 if nil.
	Rand func() float64

	mu       sync.Mutex
	window   window
	classes  []*class // most urgent first
	flows    int
	demand   meter
	usual    meter // the demand of the last seconds
	served   meter // cost answered in time
	pressure float64
	floor    float64 // least share of any flow
	severe   int     // successive windows of severe pressure
	quiet    float64 // seconds with no pressure above quietPressure
	limited  bool
	rolledAt time.Time
	counts   Counts
}

// Admit decides whether a request may be sent to targets.
func (p *Pool) Admit(now time.Time, r Request) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll(now)
	cost := orOne(r.Cost)
	p.demand.add(now, cost)
	p.usual.over = usualTime
	p.usual.add(now, cost)
	f := p.flow(r)
	f.arrivals.add(now, cost)
	d := Decision{Admitted: true}
	switch {
	case !p.limited:
	case r.Expected > 0 && r.Left < r.Expected:
		d = Decision{Reason: ReasonDeadline}
	case !f.take():
		d = Decision{Reason: ReasonShare}
	}
	if !d.Admitted {
		d.RetryAfter = p.retryAfter(f.share)
	}
	p.counts.add(r.Priority, d)
	return d
}

// Ended counts the result of an admitted request.
func (p *Pool) Ended(now time.Time, r Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll(now)
	p.window.end(r)
	if r.InTime {
		p.served.add(now, orOne(r.Cost))
		if i, ok := p.find(r.Priority); ok {
			p.classes[i].served.add(now, orOne(r.Cost))
		}
	}
	p.roll(now)
}

// Reported counts the load that a target reported with an answer: the requests running and
// waiting there and its slots. Age is the time since it did.
func (p *Pool) Reported(now time.Time, running, waiting, slots int, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.roll(now)
	p.window.report(running, waiting, slots, age)
	p.roll(now)
}

// Limited reports whether the pool refuses some requests.
func (p *Pool) Limited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.limited
}

// roll ends the current window if it is over and has any evidence.
func (p *Pool) roll(now time.Time) {
	d := now.Sub(p.window.start)
	switch {
	case d >= maxWindowAge:
		if !p.rolledAt.IsZero() && now.Sub(p.rolledAt) >= idleTime {
			p.classes, p.flows, p.limited = nil, 0, false
		}
		// Evidence that is added now is of a whole window.
		p.window = window{start: now.Add(-windowLength)}
		return
	case d < windowLength, !p.window.filled:
		return
	}
	p.pressure = p.window.pressure()
	p.window.next(now)
	if p.pressure < severePressure {
		p.severe = 0
	} else if p.severe++; p.severe >= severeWindows {
		// What led to this cut must not lead to another.
		p.window = window{start: now}
	}
	if !p.rolledAt.IsZero() {
		p.adjust(now, min(now.Sub(p.rolledAt), maxStep).Seconds())
	}
	p.rolledAt = now
	p.divide(now)
}

// adjust changes the levels of the classes by the pressure of a window that stands for some
// seconds. A class is cut only after the less urgent ones are, and opened again before them.
// Severe pressure cuts all at once, so that it ends soon.
func (p *Pool) adjust(now time.Time, seconds float64) {
	p.quiet += seconds
	if p.pressure > quietPressure {
		p.quiet = 0
	}
	total := p.demand.rate(now)
	quiet := p.quiet >= quietTime || p.quiet >= fallenTime && total < fallenShare*p.usual.rate(now)
	mayFall := true
	for i, c := range slices.Backward(p.classes) {
		mayRise := true
		for _, u := range p.classes[:i] {
			mayRise = mayRise && (u.level >= 1 || u.demand < negligible*total)
		}
		step := c.step(seconds, p.pressure/tolerance(i, len(p.classes)), quiet)
		if !mayRise && p.pressure > swapPressure {
			step = min(step, -swapRate*seconds)
		}
		if step > 0 && mayRise || step < 0 && (mayFall || p.severe >= severeWindows) {
			c.change(now, step, p.floor)
		}
		mayFall = mayFall && (c.level <= floorSlack*p.floor/floorDepth || c.demand < negligible*total)
	}
}

// divide sets the shares of all flows.
func (p *Pool) divide(now time.Time) {
	change := p.change(now)
	total, admitted, open := 0.0, 0.0, true
	for _, c := range p.classes {
		p.flows -= c.measure(now)
		total += c.demand
		admitted += c.demand * c.admitted(p.floor, change)
		open = open && c.level*change >= maxLevel
		p.limited = p.limited || c.level*change < 1
	}
	p.limited = p.limited && !open
	if !p.limited || total == 0 {
		return
	}
	p.floor = floorShare * admitted / total
	for _, c := range p.classes {
		c.level = max(c.level, p.floor/floorDepth)
		c.divide(now, p.floor, change)
	}
}

// change returns the factor by which the levels change since the demand has changed. What is
// admitted stays about the same in a step of the demand, until the levels have followed.
// Changes within usualRange are left to the levels, since estimates are as uncertain.
func (p *Pool) change(now time.Time) float64 {
	demand := p.demand.rate(now)
	if demand == 0 {
		return 1
	}
	r := p.usual.rate(now) / demand
	return max(r/usualRange, 1) * min(r*usualRange, 1)
}

// flow returns the flow of a request.
func (p *Pool) flow(r Request) *flow {
	i, ok := p.find(r.Priority)
	if !ok {
		p.classes = slices.Insert(p.classes, i, &class{priority: r.Priority, level: maxLevel, flows: map[flowKey]*flow{}})
	}
	c := p.classes[i]
	k := flowKey{r.Workspace, r.Domain}
	f := c.flows[k]
	if f == nil && p.flows >= maxFlows {
		k = flowKey{workspace: otherFlows}
		f = c.flows[k]
	}
	if f == nil {
		f = &flow{workspace: k.workspace, share: min(c.level, 1), credit: p.random()}
		c.flows[k] = f
		p.flows++
	}
	f.weight = orOne(r.Weight)
	return f
}

// find returns the index of the class of a priority, or that at which to insert it.
func (p *Pool) find(priority int) (int, bool) {
	return slices.BinarySearchFunc(p.classes, priority, func(c *class, n int) int { return cmp.Compare(c.priority, n) })
}

func (p *Pool) random() float64 {
	if p.Rand != nil {
		return p.Rand()
	}
	return rand.Float64()
}

func orOne(v float64) float64 {
	if v > 0 && !math.IsInf(v, 1) {
		return v
	}
	return 1
}
