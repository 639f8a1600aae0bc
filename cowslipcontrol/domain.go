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

	doubt    time.Time     // when the first cut began since which nobody there answered, zero if there is none
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
	case s.GivenUp || s.Outcome == cowsliptarget.Cancelled && !s.TimedOut || s.Outcome == cowsliptarget.Lost:
		// A connection that was reset tells nothing: a cut may do that, or the target.
		return
	case s.Outcome != cowsliptarget.NotSent && s.Outcome != cowsliptarget.Cancelled:
		clear(r.missed)
		r.answered, r.doubt = s.At, time.Time{}
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
	if r.doubt.IsZero() {
		r.doubt = now
	}
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
		if s == 0 || h.SinceProgress(now) < s || now.Sub(r.answered) < s || now.Sub(c.resumed) < s || now.Sub(latest) >= s || r.missed[h] {
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
		if !r.doubt.IsZero() && c.heardFromDomain(d, r.doubt) {
			r.doubt = time.Time{}
		}
		if r.cut.IsZero() {
			continue
		}
		wait := cutRetry
		if len(c.instancesIn(d)) > 0 {
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
