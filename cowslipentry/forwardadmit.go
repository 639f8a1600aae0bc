package cowslipentry

import (
	"slices"

	"cowslipflow/cowslipadmission"
	"cowslipflow/cowsliptarget"
)

// waitDivisor sets how long a part must have found no target with a free slot to count as
// evidence of overload: 1/4 of the latency target.
const waitDivisor = 4

// admissionRank returns the workspace of the request, its weight and the priority of the
// request.
func (f *forward) admissionRank() (workspace string, weight float64, priority int) {
	if f.workspace == nil {
		return "", 1, f.priority()
	}
	return f.workspace.Name(), f.workspace.Weight(), f.priority()
}

// admit decides whether the request may be sent to targets, before any part of it is. It
// returns the refusal otherwise.
func (f *forward) admit() (Reply, bool) {
	f.admission = f.admissions.pool(f.clock.Now(), f.route.Config().Name(), f.services)
	if !f.admissions.use(f.admission, f.view, f.opts.ScarceTargets) {
		return Reply{}, false
	}
	w, weight, priority := f.admissionRank()
	median := f.route.MedianLatency()
	f.cost = f.admission.cost(f.route.Config().Name(), median)
	d := f.admission.Admit(f.clock.Now(), cowslipadmission.Request{
		Priority: priority, Workspace: w, Weight: weight, Domain: f.view.FailureDomain(), Cost: f.cost,
		Left: f.closeAt.Sub(f.clock.Now()), Expected: median,
	})
	if d.Admitted {
		return Reply{}, false
	}
	f.metrics.refusedForLoad.Add(1)
	f.admission = nil
	reason := "the targets are overloaded, and the share of this priority and workspace is used up"
	if d.Reason == cowslipadmission.ReasonDeadline {
		reason = "the targets are overloaded, and too little time is left for an answer"
	}
	return notRunReply(reason, d.RetryAfter), true
}

// observeLoad passes the load that a target reported with an answer on to the pool.
func (f *forward) observeLoad(r cowsliptarget.Report) {
	if f.admission == nil || r.Slots <= 0 {
		return
	}
	if r.Slowdown > 0 {
		f.admissions.stated.Store(true)
	}
	f.admission.Reported(f.clock.Now(), r.Running, r.Queued, r.Slots, 0)
}

// observeAdmitted passes the result of a request on to the pool that admitted it. A request
// whose caller left early tells nothing.
func (f *forward) observeAdmitted(x Reply) {
	took, target := f.clock.Since(f.start), f.route.Config().LatencyTarget()
	if f.admission == nil || f.dispatch == nil || x.Kind == ReplyGone && took < target {
		return
	}
	_, _, priority := f.admissionRank()
	r := cowslipadmission.Result{Priority: priority, Cost: f.cost, Parts: len(f.attempts), Shed: f.shedAttempts(), InTime: took <= target && f.answered(x)}
	if took > target/waitDivisor {
		r.Waited = f.waitingParts()
	}
	f.admission.Ended(f.clock.Now(), r)
	f.admission.logChange(f.clock.Now(), f.log)
}

// answered reports whether the reply is a target's answer or merged from several.
func (f *forward) answered(x Reply) bool {
	return x.Kind == ReplyGathered || x.Kind == ReplyTarget && f.dispatch.Winner(0) >= 0
}

// shedAttempts returns how many attempts targets refused for load or dropped from their
// queue.
func (f *forward) shedAttempts() int {
	n := 0
	for _, a := range f.attempts {
		if a.outcome == cowsliptarget.Shed || a.outcome == cowsliptarget.Expired {
			n++
		}
	}
	return n
}

// waitingParts returns how many parts were never sent although a target may be asked for
// them: all targets were at their limits.
func (f *forward) waitingParts() int {
	sent := make(map[string]bool, len(f.services))
	for _, a := range f.attempts {
		sent[a.target.Info().Service] = true
	}
	n := 0
	for i, s := range f.services {
		if p := f.options.Parts[i]; !sent[s] && slices.ContainsFunc(p.Replicas, p.Eligible) {
			n++
		}
	}
	return n
}
