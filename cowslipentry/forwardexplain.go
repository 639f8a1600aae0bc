package cowslipentry

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"cowslipflow/cowslipadmission"
	"cowslipflow/cowsliproute"

	"github.com/cloudwego/hertz/pkg/app"
)

// handleRoute explains where a request would go.
func (e *Entry) handleRoute(_ context.Context, c *app.RequestContext) {
	var q RouteQuestion
	if r := decode(c, &q); r != nil {
		sendRefusal(c, r)
		return
	}
	x, r := e.explainRoute(q)
	if r != nil {
		sendRefusal(c, r)
		return
	}
	c.JSON(200, x)
}

// explainRoute returns where a request would go now and why. It sends nothing, and changes no
// counter, limit or state that later requests depend on. The order of the checks is that of
// Forward and forward.serve.
func (e *Entry) explainRoute(q RouteQuestion) (RouteExplanation, *Refusal) {
	r, bad := q.request(e.opts.Wire.ParseRequest)
	if bad != nil {
		return RouteExplanation{}, bad
	}
	f := &forward{Entry: e, request: r, view: e.view.Load(), start: e.clock.Now()}
	x := RouteExplanation{Instance: e.opts.ID, FailureDomain: e.opts.FailureDomain, Ready: e.Ready(), Scope: "none", Method: r.Method, Host: r.Host, Path: r.Path, Decision: RouteSend}
	if f.view == nil || f.view.Revision() == 0 {
		x.refuse(unconfiguredReason, shortRetryAfter)
		return x, nil
	}
	x.Revision, x.Scope = f.view.Revision(), f.view.Scope(f.start).String()
	if f.route = f.view.Route(r.Host, r.Path); f.route == nil {
		x.refuse(noRouteReason, 0)
		return x, nil
	}
	f.explainWorkspace(&x)
	f.suspect()
	o := f.dispatchOptions()
	x.Route = f.summarizeRoute()
	x.Admission = f.explainAdmission()
	f.explainSuspicion(&x)
	if f.tooLateToServe() {
		x.refuse(stoppingReason, shortRetryAfter)
	}
	f.explainRelays(&x)
	f.explainServices(&x, o, q.Service)
	if q.Service != "" && !slices.ContainsFunc(x.Services, func(s ServiceExplanation) bool { return s.Name == q.Service }) {
		return x, refuse(CodeUnknownService, "requests of route "+f.route.Config().Name()+" do not go to the service that was asked for")
	}
	return x, nil
}

// explainAdmission returns what part of requests like this one is admitted to the targets, empty
// if admission is not in use for them.
func (f *forward) explainAdmission() string {
	c := f.route.Config()
	pools := [][]string{c.Gather()}
	if len(c.Gather()) == 0 {
		pools = nil
		for _, s := range c.Split() {
			pools = append(pools, []string{s.Service()})
		}
	}
	w, weight, priority := f.admissionRank()
	var l []string
	for _, services := range pools {
		p := f.admissions.peek(services)
		if p == nil || !p.used.Load() {
			continue
		}
		share := p.Admitted(cowslipadmission.Request{Priority: priority, Workspace: w, Weight: weight, Domain: f.view.FailureDomain()})
		l = append(l, fmt.Sprintf("%s: %.0f%% of priority %d", p.name, 100*share, priority))
	}
	return strings.Join(l, "; ")
}

func (f *forward) explainWorkspace(x *RouteExplanation) {
	d := f.view.Workspaces()
	w := &WorkspaceExplanation{Key: "none", Required: d.KeyRequired() && !f.route.Config().Public()}
	x.Workspace = w
	switch {
	case f.route.Config().Public():
		if f.request.Key != "" {
			w.Key = "ignored"
		}
		return
	case f.request.Key != "":
		w.Key = "unknown"
	}
	ok := false
	if f.workspace, ok = workspaceOfKey(d, f.request.Key); !ok {
		x.refuse(unauthorizedReason, 0)
	}
	if f.workspace != nil {
		w.Name, w.Key = f.workspace.Name(), "known"
	}
}

func (f *forward) summarizeRoute() *RouteSummary {
	c := f.route.Config()
	return &RouteSummary{
		Name: c.Name(), Host: c.Host(), Prefix: c.Prefix(), Public: c.Public(), Wide: f.gathers(), MinParts: max(f.minParts, 1), Attempts: c.Attempts(), Once: c.Once(), Priority: f.priority(),
		LatencyTargetMillis: c.LatencyTarget().Milliseconds(), TimeoutMillis: f.timeout().Milliseconds(), HedgeAfterMillis: float64(f.route.HedgeAfter().Microseconds()) / 1000,
	}
}

func (f *forward) explainSuspicion(x *RouteExplanation) {
	s := f.suspicion
	x.Suspicion = &SuspicionExplanation{Verdict: s.Verdict.String(), Trial: s.Trial, Whole: s.Whole, Services: s.Services, Since: optionalTime(s.Since), HeldUntil: optionalTime(s.HeldUntil)}
	if s.Verdict != cowsliproute.Quarantined {
		return
	}
	d := quarantineRetryAfter
	if !s.HeldUntil.IsZero() {
		d = max(s.HeldUntil.Sub(f.start), 0)
	}
	x.refuse(heldReason, d)
}

func optionalTime(t time.Time) *time.Time {
	if t.IsZero() {
		return nil
	}
	return &t
}

// explainRelays lists the instances that the request may be passed on to. Those of the own
// failure domain come first, as View.PickRelay prefers them.
func (f *forward) explainRelays(x *RouteExplanation) {
	if !f.mayRelay() {
		return
	}
	near := false
	for _, r := range f.view.Relays() {
		y := RelayExplanation{ID: r.ID(), FailureDomain: r.FailureDomain(), InFlight: r.InFlight(), RuledOut: r.RuledOut(f.start, f.relayStallTimeout())}
		y.Candidate = y.RuledOut == ""
		near = near || y.Candidate && y.FailureDomain == f.view.FailureDomain()
		x.Relays = append(x.Relays, y)
	}
	for i := range x.Relays {
		y := &x.Relays[i]
		if near && y.Candidate && y.FailureDomain != f.view.FailureDomain() {
			y.Candidate, y.RuledOut = false, string(cowsliproute.OtherDomain)
		}
		if y.Candidate && x.Decision == RouteSend {
			x.Decision = RouteRelay
		}
	}
}
