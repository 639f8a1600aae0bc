package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// releaseHeld lets the parts that are held be sent again once a target has answered. If
// none can answer any more, they are missing.
func (d *Dispatch) releaseHeld(now time.Time) {
	if !d.options.HoldLost {
		return
	}
	hopeless := !d.answered && !slices.ContainsFunc(d.parts, func(p partState) bool { return p.inFlight > 0 || p.waiting })
	own := d.options.View.Scope(now) == cowsliproute.ScopeOwnDomain
	for i := range d.parts {
		p := &d.parts[i]
		if !p.held || !d.answered && !hopeless {
			continue
		}
		p.held = false
		p.waiting = !hopeless && d.mayTryAnother(i, own) && d.options.Parts[i].Service.Budget().Spend(now)
		p.missing = !p.waiting
	}
}

// maxAttempts returns how often part n may be tried, not counting attempts that did not run.
func (d *Dispatch) maxAttempts(n int) int {
	if d.options.Parts[n].Once {
		return 1
	}
	return d.options.MaxAttempts
}

// probeMayHaveCrashed reports whether an outcome of the request that ProbeFirst sends
// first leaves open that the request crashed the target. Another one is then spared.
func (d *Dispatch) probeMayHaveCrashed(o cowsliptarget.Outcome) bool {
	return d.options.ProbeFirst && !d.answered && o != cowsliptarget.Failed
}
