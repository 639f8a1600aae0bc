package cowslipentry

import (
	"fmt"
	"slices"
	"time"

	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
)

// explainServices explains the services and, from them, whether the request would be refused.
func (f *forward) explainServices(x *RouteExplanation, o cowslipquery.DispatchOptions, listed string) {
	c := f.route.Config()
	if !f.gathers() {
		f.explainSplit(x, o, listed)
		return
	}
	for _, n := range c.Gather() {
		s, p, ok := f.explainService(n, 1, n == listed)
		if !ok {
			f.refuseHere(x, unknownServiceReason(n), shortRetryAfter)
		}
		x.Services, o.Parts = append(x.Services, s), append(o.Parts, p)
	}
	reason, delay := f.hopelessHere(o)
	f.refuseHere(x, reason, delay)
	p := f.wide.guards.Plan(f.start, f.copies, f.services, c.MinCoverage())
	reason, delay = f.followPlan(p, f.start, &o)
	f.refuseHere(x, reason, delay)
	x.Guard = &GuardExplanation{Alert: p.Alert}
	for _, n := range o.Probes {
		x.Guard.Probes = append(x.Guard.Probes, f.services[n])
	}
	can := 0
	for _, s := range x.Services {
		if s.Eligible > 0 {
			can++
		}
	}
	if can < f.minParts && x.Decision == RouteSend {
		x.Decision, x.Reason = RouteWait, fmt.Sprintf("%d of %d services have a target that can be asked now, and %d must answer", can, len(x.Services), f.minParts)
	}
}

// explainSplit explains a route each of whose requests goes to one of several services.
func (f *forward) explainSplit(x *RouteExplanation, o cowslipquery.DispatchOptions, listed string) {
	sum := 0.0
	for _, s := range f.route.Config().Split() {
		sum += s.Weight()
	}
	served, can := 0, 0
	refused, after := "", time.Duration(0)
	for _, y := range f.route.Config().Split() {
		share := 0.0
		if sum > 0 {
			share = y.Weight() / sum
		}
		s, p, ok := f.explainService(y.Service(), share, listed == "" || listed == y.Service())
		o.Parts = []cowslipquery.DispatchPart{p}
		delay := shortRetryAfter
		if ok {
			s.Refused, delay = f.hopelessHere(o)
		} else {
			s.Refused = unknownServiceReason(y.Service())
		}
		x.Services = append(x.Services, s)
		switch {
		case share == 0:
			// No request goes to the service.
		case s.Refused != "":
			refused, after = s.Refused, delay
		default:
			served++
			if s.Eligible > 0 {
				can++
			}
		}
	}
	if served == 0 {
		f.refuseHere(x, refused, after)
	}
	if can == 0 && x.Decision == RouteSend {
		x.Decision, x.Reason = RouteWait, "no target can be asked now"
	}
}

// refuseHere records that this instance would refuse the request. Another one that it is passed on
// to may serve it.
func (f *forward) refuseHere(x *RouteExplanation, reason string, delay time.Duration) {
	if x.Decision != RouteRelay {
		x.refuse(reason, delay)
	} else if x.IfNotRelayed == "" {
		x.IfNotRelayed = reason
	}
}

func (f *forward) hopelessHere(o cowslipquery.DispatchOptions) (reason string, delay time.Duration) {
	reason, delay = hopeless(o, f.start)
	if reason != "" && delay == 0 {
		delay = f.retryAfter()
	}
	return reason, delay
}

// explainService explains a service. It reports false if the configuration has no such service.
func (f *forward) explainService(name string, share float64, list bool) (ServiceExplanation, cowslipquery.DispatchPart, bool) {
	x := ServiceExplanation{Name: name, Share: share}
	s := f.view.Service(name)
	if s == nil {
		return x, cowslipquery.DispatchPart{}, false
	}
	r := s.VersionRule(f.route.Config().Name())
	x.Versions = describeVersions(r)
	p := cowslipquery.DispatchPart{Service: s, Replicas: forwardReplicas(s), Versions: r.Usual}
	if r.MovedShare >= 1 {
		p.Versions = r.Moved
	}
	sets := r.Usual.Sets()
	if r.MovedShare > 0 || r.Canary {
		sets = append(r.Moved.Sets(), sets...)
	}
	for _, t := range f.view.TargetsOf(name) {
		b := cowsliproute.NotServing
		switch {
		case slices.Contains(p.Replicas, t):
			b = f.obstacle(t, sets)
		case t.Leaving():
			b = cowsliproute.Leaving
		}
		x.Targets++
		if b == "" {
			x.Eligible++
		} else {
			if x.RuledOut == nil {
				x.RuledOut = map[cowsliproute.Obstacle]int{}
			}
			x.RuledOut[b]++
		}
		if list {
			x.Candidates = append(x.Candidates, f.explainTarget(t, b))
		}
	}
	return x, p, true
}

// obstacle returns why a target cannot be asked now by any request that may go to one of several
// sets of versions.
func (f *forward) obstacle(t *cowsliproute.Target, sets []cowsliproute.VersionSet) cowsliproute.Obstacle {
	scope := f.view.Scope(f.start)
	for _, s := range sets {
		b := f.view.Obstacle(t, cowsliproute.PickOptions{Version: s, OwnDomainOnly: scope == cowsliproute.ScopeOwnDomain, Now: f.start})
		switch {
		case b == cowsliproute.OtherVersion:
			continue
		case scope == cowsliproute.ScopeNone:
			return cowsliproute.NotConfirmed
		}
		return b
	}
	return cowsliproute.OtherVersion
}

func (f *forward) explainTarget(t *cowsliproute.Target, b cowsliproute.Obstacle) TargetExplanation {
	i := t.Info()
	speed, limit := t.Estimate()
	return TargetExplanation{
		ID: i.ID, FailureDomain: i.FailureDomain, Version: i.Version, InFlight: t.InFlight(), Limit: t.Limit(), Load: t.Load(), Slots: i.Slots,
		Latency: float64(t.Latency()) / float64(cowsliproute.NominalLatency), Speed: speed, LearnedLimit: limit,
		NewConnection: t.MaxIdleConns() == 0, Stalled: t.Stalled(f.start), WaitMillis: t.SendDelay(f.start).Milliseconds(), RuledOut: b,
	}
}

// describeVersions returns in words which versions are asked.
func describeVersions(r cowsliproute.VersionRule) string {
	usual := r.Usual.Preferred.String()
	if r.Usual.HasFallback {
		usual += ", else " + r.Usual.Fallback.String()
	}
	moved := r.Moved.Preferred.String()
	switch {
	case r.Canary:
		return fmt.Sprintf("%s; one request at a time %s, else %s", usual, moved, usual)
	case r.MovedShare > 0:
		return fmt.Sprintf("%.0f%% %s, else %s; the others %s", 100*r.MovedShare, moved, usual, usual)
	}
	return usual
}
