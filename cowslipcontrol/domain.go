package cowslipcontrol

import (
	"fmt"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

const (
	// cutAfter is the number of different targets of a failure domain that
	// requests in a row did not reach before the domain counts as cut off.
	cutAfter = 4
	// cutRetry is how long a failure domain counts as cut off without any sign of
	// it; then its targets are tried again. Requests of callers pay for that, so
	// that it takes longer where there are instances to ask.
	cutRetry      = 2 * time.Second
	cutRetryAsked = 6 * time.Second
	// cutAgain is how soon after a failure domain was reached another cut tells that
	// its instances answer though its targets do not.
	cutAgain = 5 * time.Second
	// silenceFactor is how many latency targets of its routes a target may hold
	// requests without ending any, while none of its failure domain does, before it
	// counts as not reached.
	silenceFactor = 2
	// silenceGap is the time between two ticks from which the process itself may be
	// what stood still.
	silenceGap = 150 * time.Millisecond
)

// reach is a row of the table of failure domains: whether their targets can be
// reached from this instance.
type reach struct {
	missed map[*cowsliproute.Target]bool // not reached since any target there answered
	cut    time.Time                     // since when it counts as cut off, zero if it does not

	answered time.Time     // when a target there last answered
	reached  time.Time     // when the last cut ended
	patience time.Duration // after a cut until an answer of an instance there ends it
}

func (c *Control) reachOf(domain string) *reach {
	r := c.reaches[domain]
	if r == nil {
		r = &reach{missed: map[*cowsliproute.Target]bool{}}
		c.reaches[domain] = r
	}
	return r
}

// observeReach counts requests that reached nothing. A single target may be
// gone; many in a row, and none that answers, are a cut.
func (c *Control) observeReach(s Sample) {
	d := s.Target.Info().FailureDomain
	r := c.reachOf(d)
	switch {
	case s.GivenUp || s.Outcome == cowsliptarget.Cancelled && !s.TimedOut:
		return
	case s.Outcome != cowsliptarget.NotSent && s.Outcome != cowsliptarget.Cancelled:
		clear(r.missed)
		r.answered = s.At
		c.reached(s.At, d, r, "a target answered")
		return
	}
	if r.answered.After(s.At.Add(-s.Latency)) {
		return // the failure domain was there while the request waited
	}
	c.miss(s.At, r, s.Target, "requests in a row did not reach %d targets")
}

// miss notes that a target was not reached; enough of them are a cut.
func (c *Control) miss(now time.Time, r *reach, t *cowsliproute.Target, how string) {
	r.missed[t] = true
	if len(r.missed) < cutAfter || !r.cut.IsZero() || !c.o.Listed {
		return
	}
	if now.Sub(r.reached) < cutAgain {
		r.patience = min(max(2*r.patience, cutRetry), cutRetryAsked)
	} else {
		r.patience = 0
	}
	r.cut = now
	c.limitsDirty = true
	c.o.Event("failureDomainCutOff", t.Info().FailureDomain, fmt.Sprintf(how, len(r.missed)))
}

// runSilence finds a cut before the requests behind it time out: several targets of
// a failure domain hold requests, and none there answers. Where none answers in any
// failure domain, it is this process that is late.
func (c *Control) runSilence(now time.Time) {
	if now.Sub(c.ticked) > silenceGap {
		c.resumed = now
	}
	var latest time.Time
	for _, r := range c.reaches {
		latest = later(latest, r.answered)
	}
	for i := range c.targets {
		h := c.targets[i].handle
		r := c.reachOf(h.Info().FailureDomain)
		s := silenceFactor * c.patience[h.Info().Service]
		if s == 0 || h.Silence(now) < s || now.Sub(r.answered) < s || now.Sub(c.resumed) < s || now.Sub(latest) >= s || r.missed[h] {
			continue
		}
		c.miss(now, r, h, "%d targets hold requests, and none answers")
	}
}

func (c *Control) reached(now time.Time, domain string, r *reach, how string) {
	if r.cut.IsZero() {
		return
	}
	r.cut, r.reached = time.Time{}, now
	clear(r.missed)
	c.limitsDirty = true
	c.o.Event("failureDomainReached", domain, how)
}

// runReach lets the targets of a failure domain be tried again once one of its
// instances has answered, or after a while.
func (c *Control) runReach(now time.Time) {
	for d, r := range c.reaches {
		if r.cut.IsZero() {
			continue
		}
		wait := cutRetry
		if len(c.peersIn(d)) > 0 {
			wait = cutRetryAsked
		}
		if now.Sub(r.cut) >= wait {
			c.reached(now, d, r, "tried again")
			continue
		}
		for i := range c.peers {
			if p := &c.peers[i]; p.failureDomain == d && p.answered.After(r.cut.Add(r.patience)) {
				c.reached(now, d, r, "instance "+p.id+" answered")
				break
			}
		}
	}
}

func (c *Control) peersIn(domain string) []Member {
	var l []Member
	for i := range c.peers {
		if p := &c.peers[i]; p.failureDomain == domain && !p.gone() {
			l = append(l, p.member())
		}
	}
	return l
}

// CutOff lists the instances of each failure domain that counts as cut off. Any
// answer of one ends that.
func (c *Control) CutOff() map[string][]Member {
	m := map[string][]Member{}
	for d, r := range c.reaches {
		if l := c.peersIn(d); !r.cut.IsZero() && len(l) > 0 {
			m[d] = l
		}
	}
	return m
}

// Isolated tells whether this instance should get no callers, since others can
// serve them better: no other failure domain with targets can be reached, and
// there are routes that the own targets cannot serve.
func (c *Control) Isolated() bool {
	others := false
	for i := range c.targets {
		t := &c.targets[i]
		if d := t.handle.Info().FailureDomain; d != c.o.FailureDomain && c.serving(t) {
			if c.reachOf(d).cut.IsZero() {
				return false
			}
			others = true
		}
	}
	return others && c.unserved()
}

// unserved tells whether a route that targets are listed for cannot be served
// by those that may be asked.
func (c *Control) unserved() bool {
	listed, open := map[string]bool{}, map[string]bool{}
	for i := range c.targets {
		h := c.targets[i].handle
		n := h.Info().Service
		listed[n] = listed[n] || c.serving(&c.targets[i])
		open[n] = open[n] || h.Open()
	}
	for _, r := range c.config.Routes() {
		if g := r.Gather(); len(g) > 0 {
			if shareOf(listed, g) >= r.Least() && shareOf(open, g) < r.Least() {
				return true
			}
			continue
		}
		for _, s := range r.Split() {
			if s.Weight() > 0 && listed[s.Service()] && !open[s.Service()] {
				return true
			}
		}
	}
	return false
}

// shareOf is the part of the names that is set.
func shareOf(set map[string]bool, names []string) float64 {
	n := 0
	for _, x := range names {
		if set[x] {
			n++
		}
	}
	return float64(n) / float64(len(names))
}
