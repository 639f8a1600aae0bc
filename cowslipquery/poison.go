package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// maxCrashes is how many targets may crash under a request without an answer before it ends.
const maxCrashes = 2

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

// brokenOff reports whether the target may have crashed while it ran the request.
func brokenOff(o cowsliptarget.Outcome) bool {
	return o == cowsliptarget.Lost || o == cowsliptarget.Corrupt
}

// lossUnexplained reports whether a target broke off the request and none has answered it.
func (d *Dispatch) lossUnexplained() bool { return d.options.HoldLost && d.brokenOff && !d.answered }

// sendable reports whether part n may be sent if it waits. While a loss is unexplained, parts are
// sent one at a time.
func (d *Dispatch) sendable(n int) bool {
	if d.probing() {
		sent, _ := d.probesInFlight()
		return sent == 0 && slices.Contains(d.options.Probes, n)
	}
	return !d.lossUnexplained() || !slices.ContainsFunc(d.parts, func(p partState) bool { return p.inFlight > 0 })
}

// TargetCrashed handles the news that the target of attempt n, which broke off the request, has
// crashed. Without an answer, the second such target ends the request, or the first one while
// Alert is set: one alone may have crashed under another request.
func (d *Dispatch) TargetCrashed(_ time.Time, n int) []DispatchAction {
	if n < 0 || n >= len(d.attempts) || !d.attempts[n].ended {
		return nil
	}
	d.crashes++
	if d.crashes >= maxCrashes || d.options.Alert {
		return d.Stop()
	}
	return nil
}

// Stop ends the request if no target has answered it: targets crash under it. It cancels the
// attempts in flight, as targets drop what they have not begun when its connection is closed.
func (d *Dispatch) Stop() []DispatchAction {
	if !d.closed && !d.answered {
		d.stop()
	}
	return d.takeActions()
}

// Answered reports whether a target has answered any part.
func (d *Dispatch) Answered() bool { return d.answered }

func (d *Dispatch) stop() {
	for i := range d.parts {
		p := &d.parts[i]
		p.waiting, p.held = false, false
		p.missing = !p.done
	}
	d.cancelInFlight(-1)
	d.closed = true
}
