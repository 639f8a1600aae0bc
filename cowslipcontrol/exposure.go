package cowslipcontrol

import (
	"cmp"
	"slices"
	"time"

	"cowslipflow/cowslipexposure"
)

const (
	// exposureFraction is the fraction of the bound on requests to the new version
	// that is used. The rest allows for requests that are not counted: those in
	// flight and those of instances that are gone.
	exposureFraction = 0.8
	// canaryFraction is the fraction of an instance's part of the bound that canary
	// requests may use at first. The rest is for the time after the ramp has started.
	canaryFraction = 0.25
	// loadTargetChanges is how often in the time of a move another target gets the load.
	loadTargetChanges = 8
	// lowTrafficShare is the greatest share of the requests of a route with low traffic. The rest
	// is compared with.
	lowTrafficShare = 0.9
	// lowTrafficNoise is how many requests more than expected a route with low traffic may have had.
	lowTrafficNoise = 5
)

// exposure is what this instance has sent of the requests that the new version of a move
// may receive before the move ends.
type exposure struct {
	bounded bool
	sent    float64 // to the new version
	all     float64 // to both versions
	share   float64 // of all that may be sent, without what is reserved
	slack   float64 // that may be sent besides
}

// exposure returns the exposure of the new version of a move to this instance.
func (c *Control) exposure(m *move) exposure {
	x := exposure{
		bounded: c.o.ExposeShare != 0 || c.o.ExposeSlack != 0,
		share:   exposureFraction * c.o.ExposeShare,
		slack:   exposureFraction * float64(c.o.ExposeSlack) / float64(len(c.senders().ids)),
	}
	for k, n := range m.localEvidence {
		x.all += float64(n.requests)
		if k.version == m.config.To() {
			x.sent += float64(n.requests)
		}
	}
	return x
}

func (x exposure) allowed() float64 { return x.share*x.all + x.slack }

// allowsCanary reports whether this instance may send another canary request, given the
// progress of the move.
func (x exposure) allowsCanary(progress float64) bool {
	return !x.bounded || x.sent < max(canaryFraction, progress)*x.allowed()
}

// plan decides how this instance divides the requests of a moved service between its versions.
func (c *Control) plan(now time.Time, m *move) cowslipexposure.Plan {
	x := c.exposure(m)
	t := cowslipexposure.Traffic{
		Share: x.share, Slack: x.slack, Routes: map[string]cowslipexposure.Route{}, Elapsed: now.Sub(m.start),
		Decision: time.Duration(evidenceDeadline * float64(m.duration())), Duration: m.duration(), Targets: len(c.newTargets(m)),
	}
	for k, n := range m.localEvidence {
		r := t.Routes[k.route]
		r.All += float64(n.requests)
		if k.version == m.config.To() {
			r.New += float64(n.requests)
		}
		t.Routes[k.route] = r
	}
	senders := float64(len(c.senders().ids))
	for n, e := range m.routes {
		if e.evidenceAt.IsZero() {
			continue
		}
		r := t.Routes[n]
		if r.Cap = m.share(now, e); x.bounded && m.hasLowTraffic(now, senders*r.All) {
			r.Cap, r.Few = lowTrafficShare, true
		}
		t.Routes[n] = r
	}
	if x.bounded {
		return t.Plan()
	}
	p := cowslipexposure.Plan{Shares: map[string]float64{}}
	for n, r := range t.Routes {
		if r.Cap > 0 {
			p.Shares[n] = r.Cap
		}
	}
	return p
}

// hasLowTraffic reports whether a route that has had this many requests since the move began will
// have fewer than lowTrafficRequests in its whole time.
func (m *move) hasLowTraffic(now time.Time, requests float64) bool {
	return requests < lowTrafficRequests*m.progress(now)+lowTrafficNoise
}

// newTargets returns the targets of the new version that are in service.
func (c *Control) newTargets(m *move) []*target {
	var l []*target
	for i := range c.targets {
		t := &c.targets[i]
		x := t.handle.Info()
		if x.Service == m.config.Service() && x.Version == m.config.To() && !t.leaving() && !c.config.FailureDomainOut(x.FailureDomain) {
			l = append(l, t)
		}
	}
	return l
}

// loadTarget returns the ID of the target of the new version that gets the requests at present,
// the same at all instances. It is empty if this instance may not send requests to that target
// now; any of the new version then get them.
func (c *Control) loadTarget(now time.Time, m *move) string {
	l := slices.DeleteFunc(c.newTargets(m), func(t *target) bool { return now.Before(t.coldUntil) })
	if len(l) == 0 {
		return ""
	}
	slices.SortFunc(l, func(a, b *target) int {
		return cmp.Compare(rendezvousScore(m.config.ID(), a.handle.Info().ID), rendezvousScore(m.config.ID(), b.handle.Info().ID))
	})
	t := l[int(m.progress(now)*loadTargetChanges)%len(l)]
	if !t.handle.Available() {
		return ""
	}
	return t.handle.Info().ID
}
