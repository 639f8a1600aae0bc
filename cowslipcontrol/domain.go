package cowslipcontrol

import (
	"fmt"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

const (
	// cutThreshold is the number of different targets of a failure domain that
	// requests in a row did not reach before the domain counts as cut off.
	cutThreshold = 4
	// cutTimeout is how long a failure domain counts as cut off without any sign of
	// it; then its targets are tried again. Requests of callers pay for that, so
	// that it takes longer where there are instances to ask.
	cutTimeout          = 2 * time.Second
	cutTimeoutWithPeers = 6 * time.Second
	// recutWindow is how soon after a failure domain was reached another cut tells that
	// its instances answer though its targets do not.
	recutWindow = 5 * time.Second
	// silenceFactor is how many latency targets of its routes a target may hold
	// requests without ending any, while none of its failure domain does, before it
	// counts as not reached.
	silenceFactor = 2
	// pauseThreshold is the time between two ticks from which the process itself may be
	// what stood still.
	pauseThreshold = 150 * time.Millisecond
)

// domainState is a row of the table of failure domains: whether their targets can be
// reached from this instance.
type domainState struct {
	unreached map[*cowsliproute.Target]bool // not reached since any target there answered
	cutSince  time.Time                     // since when it counts as cut off, zero if it does not

	suspectSince time.Time     // when the first cut began since which nobody there answered, zero if there is none
	lastAnswer   time.Time     // when a target there last answered
	cutEnded     time.Time     // when the last cut ended
	backoff      time.Duration // after a cut until an answer of an instance there ends it
}

func (c *Control) ensureDomain(domain string) *domainState {
	r := c.domains[domain]
	if r == nil {
		r = &domainState{unreached: map[*cowsliproute.Target]bool{}}
		c.domains[domain] = r
	}
	return r
}

// observeReachability counts requests that reached nothing. A single target may be
// gone; many in a row, and none that answers, are a cut.
func (c *Control) observeReachability(s Sample) {
	d := s.Target.Info().FailureDomain
	r := c.ensureDomain(d)
	switch {
	case s.GivenUp || s.Outcome == cowsliptarget.Cancelled && !s.TimedOut || s.Outcome == cowsliptarget.Lost:
		// A connection that was reset tells nothing: a cut may do that, or the target.
		return
	case s.Outcome != cowsliptarget.NotSent && s.Outcome != cowsliptarget.Cancelled:
		clear(r.unreached)
		r.lastAnswer, r.suspectSince = s.At, time.Time{}
		c.endCut(s.At, d, r, "a target answered")
		return
	}
	if r.lastAnswer.After(s.At.Add(-s.Latency)) {
		return // the failure domain was there while the request waited
	}
	c.recordUnreached(s.At, r, s.Target, "requests in a row did not reach %d targets")
}

// recordUnreached notes that a target was not reached; enough of them are a cut.
func (c *Control) recordUnreached(now time.Time, r *domainState, t *cowsliproute.Target, how string) {
	r.unreached[t] = true
	if len(r.unreached) < cutThreshold || !r.cutSince.IsZero() || !c.o.ListOnly {
		return
	}
	if now.Sub(r.cutEnded) < recutWindow {
		r.backoff = min(max(2*r.backoff, cutTimeout), cutTimeoutWithPeers)
	} else {
		r.backoff = 0
	}
	r.cutSince = now
	if r.suspectSince.IsZero() {
		r.suspectSince = now
	}
	c.limitsDirty = true
	c.o.Event("failureDomainCutOff", t.Info().FailureDomain, fmt.Sprintf(how, len(r.unreached)))
}

// runSilenceDetection finds a cut before the requests behind it time out: several targets of
// a failure domain hold requests, and none there answers. Where none answers in any
// failure domain, it is this process that is late.
func (c *Control) runSilenceDetection(now time.Time) {
	if now.Sub(c.lastTick) > pauseThreshold {
		c.resumedAt = now
	}
	var latest time.Time
	for _, r := range c.domains {
		latest = later(latest, r.lastAnswer)
	}
	for i := range c.targets {
		h := c.targets[i].handle
		r := c.ensureDomain(h.Info().FailureDomain)
		s := silenceFactor * c.latencyTargets[h.Info().Service]
		if s == 0 || h.Silence(now) < s || now.Sub(r.lastAnswer) < s || now.Sub(c.resumedAt) < s || now.Sub(latest) >= s || r.unreached[h] {
			continue
		}
		c.recordUnreached(now, r, h, "%d targets hold requests, and none answers")
	}
}

func (c *Control) endCut(now time.Time, domain string, r *domainState, how string) {
	if r.cutSince.IsZero() {
		return
	}
	r.cutSince, r.cutEnded = time.Time{}, now
	clear(r.unreached)
	c.limitsDirty = true
	c.o.Event("failureDomainReached", domain, how)
}

// runCutRecovery lets the targets of a failure domain be tried again once one of its
// instances has answered, or after a while.
func (c *Control) runCutRecovery(now time.Time) {
	for d, r := range c.domains {
		if !r.suspectSince.IsZero() && c.peerAnsweredSince(d, r.suspectSince) {
			r.suspectSince = time.Time{}
		}
		if r.cutSince.IsZero() {
			continue
		}
		wait := cutTimeout
		if len(c.instancesIn(d)) > 0 {
			wait = cutTimeoutWithPeers
		}
		if now.Sub(r.cutSince) >= wait {
			c.endCut(now, d, r, "tried again")
			continue
		}
		for i := range c.peers {
			if p := &c.peers[i]; p.failureDomain == d && p.lastExchange.After(r.cutSince.Add(r.backoff)) {
				c.endCut(now, d, r, "instance "+p.id+" answered")
				break
			}
		}
	}
}
