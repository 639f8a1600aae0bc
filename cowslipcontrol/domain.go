package cowslipcontrol

import (
	"fmt"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

const (
	// cutThreshold is the number of distinct targets of a failure domain that must
	// be unreachable in a row before the failure domain counts as cut off.
	cutThreshold = 4
	// cutTimeout is how long a failure domain without known instances counts as cut
	// off, if nothing there answers, before its targets are tried again. The retry
	// costs requests of callers, so cutTimeoutWithPeers, for failure domains with
	// instances that can be probed instead, is longer.
	cutTimeout          = 2 * time.Second
	cutTimeoutWithPeers = 6 * time.Second
	// recutWindow is the time after the end of a cut within which another cut means
	// that the instances of the failure domain answer but its targets do not.
	recutWindow = 5 * time.Second
	// silenceFactor is a multiple of the highest latency target among a service's
	// routes. A target counts as unreachable if it has had requests in flight for that
	// long without completing one, and no target of its failure domain has answered
	// meanwhile.
	silenceFactor = 2
	// pauseThreshold is the interval between two ticks above which the process
	// itself may have been paused.
	pauseThreshold = 150 * time.Millisecond
)

// domainState is a row of the table of failure domains. It records whether the
// targets of a failure domain can be reached from this instance.
type domainState struct {
	unreached map[*cowsliproute.Target]bool // targets found unreachable since one there last answered
	cutSince  time.Time                     // when it was found cut off, zero if it is not

	// suspectSince is when the failure domain became suspect, that is, when a cut was
	// first found here or by a peer. It returns to zero when a target or an instance
	// there answers.
	suspectSince time.Time
	lastAnswer   time.Time     // when a target there last answered
	cutEnded     time.Time     // when the last cut ended
	backoff      time.Duration // minimum time from a cut until the answer of an instance there can end it
}

func (c *Control) ensureDomain(domain string) *domainState {
	r := c.domains[domain]
	if r == nil {
		r = &domainState{unreached: map[*cowsliproute.Target]bool{}}
		c.domains[domain] = r
	}
	return r
}

// observeReachability tracks requests that did not reach their target. A single
// unreachable target may be gone; several distinct ones with no answer in between
// indicate a cut.
func (c *Control) observeReachability(s Sample) {
	d := s.Target.Info().FailureDomain
	r := c.ensureDomain(d)
	switch {
	case s.GivenUp || s.Outcome == cowsliptarget.Cancelled && !s.TimedOut || s.Outcome == cowsliptarget.Lost:
		// A reset connection is inconclusive: both a cut and a target can cause it.
		return
	case s.Outcome != cowsliptarget.NotSent && s.Outcome != cowsliptarget.Cancelled:
		clear(r.unreached)
		r.lastAnswer, r.suspectSince = s.At, time.Time{}
		c.endCut(s.At, d, r, "a target answered")
		return
	}
	if r.lastAnswer.After(s.At.Add(-s.Latency)) {
		return // the failure domain answered while the request was waiting
	}
	c.recordUnreached(s.At, r, s.Target, "consecutive requests did not reach %d targets")
}

// recordUnreached records an unreachable target. With Options.ListOnly, the failure
// domain counts as cut off once cutThreshold distinct targets are unreachable. The
// detail of the event is detailFormat with their number.
func (c *Control) recordUnreached(now time.Time, r *domainState, t *cowsliproute.Target, detailFormat string) {
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
	c.o.Event("failureDomainCutOff", t.Info().FailureDomain, fmt.Sprintf(detailFormat, len(r.unreached)))
}

// runSilenceDetection detects a cut before the affected requests time out: several
// targets of a failure domain have requests in flight, and none there answers. If no
// target of any failure domain answers, it is this process that is delayed, and the
// silence is ignored.
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
		if s == 0 || h.SinceProgress(now) < s || now.Sub(r.lastAnswer) < s || now.Sub(c.resumedAt) < s || now.Sub(latest) >= s || r.unreached[h] {
			continue
		}
		c.recordUnreached(now, r, h, "%d targets have requests in flight and none answers")
	}
}

func (c *Control) endCut(now time.Time, domain string, r *domainState, detail string) {
	if r.cutSince.IsZero() {
		return
	}
	r.cutSince, r.cutEnded = time.Time{}, now
	clear(r.unreached)
	c.limitsDirty = true
	c.o.Event("failureDomainReached", domain, detail)
}

// runCutRecovery ends a cut, so that the targets are tried again, once the backoff is
// over and an instance of the failure domain has answered since, or once the timeout
// is over.
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
			c.endCut(now, d, r, "retry after the timeout")
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
