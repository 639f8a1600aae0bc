package cowslipcontrol

import (
	"fmt"
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Sample is the result of one request to a target, as the code that sent it
// observed it.
type Sample struct {
	Target   *cowsliproute.Target
	Route    string
	Outcome  cowsliptarget.Outcome
	Crashed  bool // the target crashed while it ran the request
	GivenUp  bool // cancelled before any byte was sent; says nothing about the target
	TimedOut bool // cancelled at the deadline, not because the answer was no longer needed
	Latency  time.Duration
	Report   cowsliptarget.Report
	At       time.Time
}

// Parameters of outlier ejection, of the detection of targets that became cold
// without reporting it, and of reports.
const (
	ejectAfterFailures = 3 // consecutive failures
	firstBackoff       = time.Second
	maxBackoff         = 30 * time.Second
	// maxListOnlyBackoff replaces maxBackoff with Options.ListOnly, since targets are
	// not probed then.
	maxListOnlyBackoff   = 2 * time.Second
	coldIdleTime         = 5 * time.Second // without a successful request
	coldLatencyRatio     = 5               // of the latency to the target's mean latency
	coldMinLatency       = 20 * time.Millisecond
	overloadQueuePerSlot = 1 // queued requests per slot above which a target counts as overloaded
	reportInterval       = time.Second
	staleLoadAge         = 25 * time.Millisecond // age of the last report after which the reported load is halved each tick
)

// Observe handles the result of a request.
func (c *Control) Observe(s Sample) {
	t := c.row(s.Target)
	if t == nil {
		return
	}
	if s.Report.Incarnation != "" {
		c.report(s.At, t, s.Report)
	}
	if s.Report.Leaving && s.Report.Incarnation == "" && !t.selfLeaving {
		t.selfLeaving = true
		c.updateLeaving(t, "reported leaving in a response")
	}
	c.observeRequestLimit(t, s)
	c.observeService(s)
	c.observeReachability(s)
	if s.Outcome == cowsliptarget.OK {
		c.observeRoute(s)
	}
	if s.GivenUp {
		return
	}
	c.observeMove(s)
	if s.Crashed {
		return
	}
	switch {
	case s.Outcome == cowsliptarget.OK:
		c.detectCold(t, s)
		t.failures = 0
		t.lastSuccess = s.At
		if t.ejected {
			t.ejected = false
			t.backoff = 0
			c.o.Event("targetReinstated", t.handle.Info().ID, "a request succeeded")
			c.limitsDirty = true
		}
	case s.Outcome == cowsliptarget.Failed, s.Outcome == cowsliptarget.Lost, s.Outcome == cowsliptarget.Corrupt, s.Outcome == cowsliptarget.NotSent, s.TimedOut:
		t.failures++
		if t.failures >= ejectAfterFailures {
			c.eject(t, s.At, s.Outcome)
		}
	}
}

// detectCold marks a target as cold if, after an idle time, it answers much slower
// than before. With Options.ListOnly, the platform's list says whether targets are cold.
func (c *Control) detectCold(t *target, s Sample) {
	if c.o.ListOnly {
		return
	}
	m := t.handle.Latency()
	if s.At.Sub(t.lastSuccess) > coldIdleTime && m > 0 && s.Latency > coldMinLatency && s.Latency > coldLatencyRatio*m {
		c.markCold(t, s.At, "latency jumped after an idle time")
	}
}

// markCold restarts the warm-up of a target.
func (c *Control) markCold(t *target, now time.Time, reason string) {
	t.warmupStart = now
	t.cold = true
	c.o.Event("targetCold", t.handle.Info().ID, reason)
	c.effects.Push = true
	c.touch(t)
}

func (c *Control) eject(t *target, now time.Time, last cowsliptarget.Outcome) {
	if t.ejected && now.Before(t.ejectedUntil) {
		return
	}
	t.backoff = min(max(2*t.backoff, firstBackoff), c.maxBackoff())
	t.ejected = true
	t.ejectedUntil = now.Add(t.backoff)
	t.failures = 0
	i := t.handle.Info()
	c.o.Event("targetEjected", i.ID, fmt.Sprintf("service %s in failure domain %s, ejected for %v; last outcome: %v", i.Service, i.FailureDomain, t.backoff, last))
	c.limitsDirty = true
}

// maxBackoff returns the longest time for which a target stays ejected. It is shorter
// with Options.ListOnly, since only a request can then detect the target's recovery.
func (c *Control) maxBackoff() time.Duration {
	if c.o.ListOnly {
		return maxListOnlyBackoff
	}
	return maxBackoff
}

// runHealth allows requests to an ejected target again after its backoff, and
// halves reported load that is stale.
func (c *Control) runHealth(now time.Time) {
	for i := range c.targets {
		t := &c.targets[i]
		if l := t.handle.Load(); l > 0 && now.Sub(t.reportedAt) > staleLoadAge {
			t.handle.SetLoad(l / 2)
		}
		if t.ejected && !t.ejectedUntil.IsZero() && !now.Before(t.ejectedUntil) {
			t.ejectedUntil = time.Time{}
			t.failures = ejectAfterFailures - 1
			c.limitsDirty = true
		}
	}
}

// Reported handles a target's answer to a request for its report. The parameter
// suspension is what the target's Suspension method returned before the request was
// sent; that suspension ends when the next tick sets the target's limit.
func (c *Control) Reported(now time.Time, h *cowsliproute.Target, r cowsliptarget.Report, suspension int64) {
	t := c.row(h)
	if t == nil || r.Incarnation == "" {
		return
	}
	c.report(now, t, r)
	if suspension != 0 {
		t.suspensionToEnd = suspension
		c.limitsDirty = true
	}
}

func (c *Control) report(now time.Time, t *target, r cowsliptarget.Report) {
	t.reportedAt = now
	t.handle.SetLoad(r.Running + r.Queued)
	if r.Slots > 0 && r.Queued > overloadQueuePerSlot*r.Slots {
		if s := c.services[t.handle.Info().Service]; s != nil {
			s.limiter.RecordOverload(now)
		}
	}
	if t.incarnation != r.Incarnation {
		known := t.incarnation != ""
		t.beginIncarnation(r.Incarnation, now, r.Cold)
		t.selfLeaving = r.Leaving
		t.holdings = nil
		c.resetRestarted(t)
		if known {
			c.o.Event("targetRestarted", t.handle.Info().ID, "incarnation "+r.Incarnation)
		}
		c.effects.Push = true
		c.updateLeaving(t, "reported leaving by the target itself")
	}
	if r.Leaving != t.selfLeaving {
		t.selfLeaving = r.Leaving
		c.effects.Push = true
		c.updateLeaving(t, "reported leaving by the target itself")
	}
	if r.Cold && !t.cold && now.Sub(t.warmupStart) > c.warmTime(t) {
		c.markCold(t, now, "reported")
	}
	if !r.Cold && t.cold && now.Sub(t.warmupStart) > c.warmTime(t) {
		t.cold = false
		c.touch(t)
	}
	if r.Holdings != nil && !slices.Equal(r.Holdings, t.holdings) {
		t.holdings = slices.Clone(r.Holdings)
		c.touch(t)
	}
}

// resetRestarted discards what was learned about the previous run of a restarted
// target. The new run receives requests at once, up to its limit while cold.
func (c *Control) resetRestarted(t *target) {
	t.failures, t.backoff = 0, 0
	t.ejected = false
	t.handle.ResetLatency()
	c.limitsDirty = true
}

// row returns the row of a target, nil if the table has none or a newer one for
// the same ID.
func (c *Control) row(h *cowsliproute.Target) *target {
	n, ok := c.targetIndex[h.Info().ID]
	if !ok || c.targets[n].handle != h {
		return nil
	}
	return &c.targets[n]
}

func (c *Control) warmTime(t *target) time.Duration {
	s, ok := c.config.Service(t.handle.Info().Service)
	if !ok {
		return 0
	}
	return s.WarmTime()
}

// DueProbes returns the targets to ask for a report: those whose connection
// ended, those whose last report is older than reportInterval, and those that
// have not reported their holdings.
func (c *Control) DueProbes(now time.Time) []*cowsliproute.Target {
	var d []*cowsliproute.Target
	for i := range c.targets {
		t := &c.targets[i]
		if t.handle.Suspension() != 0 || now.Sub(t.reportedAt) >= reportInterval || t.holdings == nil {
			d = append(d, t.handle)
		}
	}
	return d
}
