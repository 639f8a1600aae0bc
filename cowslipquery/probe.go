package cowslipquery

import (
	"slices"
	"time"
)

// probing reports whether only probes are sent, since no target has answered yet.
func (d *Dispatch) probing() bool { return len(d.options.Probes) > 0 && !d.answered }

// probesInFlight returns how many probes are in flight, and the part of one of them.
func (d *Dispatch) probesInFlight() (count, part int) {
	for _, i := range d.options.Probes {
		if n := d.parts[i].inFlight; n > 0 {
			count, part = count+n, i
		}
	}
	return count, part
}

// sendProbe sends a probe unless one is in flight.
func (d *Dispatch) sendProbe(now time.Time) {
	if !d.probing() || d.probeLost {
		return
	}
	if n, _ := d.probesInFlight(); n == 0 {
		d.sendNextProbe(now)
	}
}

// sendNextProbe sends the first of the probes that wait and have a target with capacity. It
// reports whether there is one.
func (d *Dispatch) sendNextProbe(now time.Time) bool {
	for _, i := range d.options.Probes {
		p := &d.parts[i]
		if !p.waiting || p.settled() || now.Before(p.shedRetryAt) {
			continue
		}
		if d.send(now, i, false); p.inFlight > 0 {
			return true
		}
	}
	return false
}

// probesFailed reports whether no target may be asked for a probe any more.
func (d *Dispatch) probesFailed() bool {
	return d.probing() && (d.probeLost || !slices.ContainsFunc(d.options.Probes, func(i int) bool { return !d.parts[i].missing }))
}

// probeHedgeDue returns when a second probe is due, or false if none is.
func (d *Dispatch) probeHedgeDue() (time.Time, bool) {
	n, i := d.probesInFlight()
	if !d.probing() || !d.options.HedgeProbe || d.options.HedgeAfter == 0 || d.probeHedged || n == 0 || !slices.ContainsFunc(d.options.Probes, func(i int) bool { return d.parts[i].waiting }) {
		return time.Time{}, false
	}
	p := &d.parts[i]
	return later(p.sentAt.Add(d.options.HedgeAfter), p.hedgeRetryAt), true
}

// hedgeProbe sends a second probe if one is due. It is for another part, so that it needs no
// retry budget.
func (d *Dispatch) hedgeProbe(now time.Time) {
	t, ok := d.probeHedgeDue()
	if !ok || t.After(now) {
		return
	}
	_, i := d.probesInFlight()
	if d.probeHedged = d.sendNextProbe(now); !d.probeHedged {
		d.parts[i].hedgeRetryAt = now.Add(hedgeRetryInterval)
	}
}
