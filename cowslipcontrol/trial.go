package cowslipcontrol

import (
	"maps"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

// firstHold is how long a quarantined request is held that was answered shortly before. It
// probably shared targets with the request that crashes them, but may crash them itself
// since their last release. Each crash under a trial doubles the hold, up to quarantineTime.
const firstHold = 5 * time.Second

// shortHold is the quarantine of a request that was answered shortly before its crashes.
type shortHold struct {
	until time.Time
	over  bool
	tried map[string]bool // incidents of the trials under which targets crashed
}

// shortenHolds limits the quarantine of requests that were answered shortly before their
// crashes, given by fingerprint: after a hold, they are tried again. Other crashes say
// nothing new, as they may be told late.
func (c *Control) shortenHolds(now time.Time, crashes map[uint64][]crash) {
	maps.DeleteFunc(c.shortHolds, func(f uint64, _ *shortHold) bool { return c.crashVerdicts[f].Verdict != cowsliproute.Quarantined })
	for f, s := range c.crashVerdicts {
		l := crashes[f]
		if s.Verdict != cowsliproute.Quarantined || !slices.ContainsFunc(l, c.answeredBefore) {
			continue
		}
		h := c.shortHolds[f]
		if h == nil {
			h = &shortHold{until: now.Add(firstHold), tried: map[string]bool{}}
			c.shortHolds[f] = h
		}
		for _, x := range l {
			if x.trial && !h.tried[x.incident] {
				h.tried[x.incident] = true
				h.until = x.at.Add(holdLength(len(h.tried)))
			}
		}
		if h.over = !now.Before(h.until); h.over {
			s.Verdict, s.Trial = cowsliproute.Suspect, true
		} else {
			s.HeldUntil = h.until
		}
		c.crashVerdicts[f] = s
	}
}

// answeredBefore reports whether the request had been answered shortly before the crash.
func (c *Control) answeredBefore(x crash) bool {
	return x.answered || c.answeredBy(x.fingerprint, x.service)
}

// holdLength returns how long a request is held after a number of trials.
func holdLength(trials int) time.Duration {
	d := firstHold
	for range trials {
		d = min(2*d, quarantineTime)
	}
	return d
}

// anyShortHoldOver reports whether a hold has ended since shortenHolds last ran.
func (c *Control) anyShortHoldOver(now time.Time) bool {
	for _, h := range c.shortHolds {
		if !h.over && !now.Before(h.until) {
			return true
		}
	}
	return false
}

// holdDetail describes how long a quarantined request is held.
func holdDetail(now time.Time, s cowsliproute.Suspicion) string {
	if s.HeldUntil.IsZero() {
		return "for " + quarantineTime.String() + " after its last crash"
	}
	return "for " + s.HeldUntil.Sub(now).String() + ", as it was answered shortly before its crashes"
}
