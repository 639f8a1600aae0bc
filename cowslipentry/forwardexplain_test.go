package cowslipentry

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipguard"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowslipworkspace"

	"github.com/stretchr/testify/require"
)

const explainedConfig = `
failureDomains = [{name = "cerro"}, {name = "plan"}]
services = [{name = "single", kind = "narrow"}, {name = "a", kind = "narrow"}, {name = "b", kind = "narrow"}]
workspaces = [{name = "acme", keys = ["secret-1"], priority = 2}]
routes = [
	{name = "single", host = "h", prefix = "/single/", service = "single"},
	{name = "wide", host = "h", prefix = "/wide/", gather = ["a", "b"], top = 10, minCoverage = 1.0},
	{name = "split", host = "h", prefix = "/split/", split = [{service = "a", weight = 3}, {service = "b", weight = 1}, {service = "single", weight = 0}]},
	{name = "open", host = "h", prefix = "/open/", service = "single", public = true},
]
`

// explained is a view whose parts a test may change. Each service has targets of both failure
// domains, and of versions v1 and v2.
type explained struct {
	entry   *Entry
	now     time.Time
	log     bytes.Buffer
	targets map[string][]*cowsliproute.Target // by service
	others  []*cowsliproute.Target            // known, but no replicas
	options cowsliproute.ViewOptions
	move    *cowsliproute.MoveView // of the service "single"
}

func newExplained(t *testing.T) *explained {
	// Pauses are kept relative to the start of the process.
	e, clock := newStillEntryAt(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"), time.Now())
	x := &explained{entry: e, now: clock.Now(), targets: map[string][]*cowsliproute.Target{}}
	e.log = slog.New(slog.NewJSONHandler(&x.log, &slog.HandlerOptions{Level: slog.LevelDebug}))
	e.opts.Wire.ParseRequest = func(r *http.Request) (Request, error) {
		q := Request{Method: r.Method, Host: r.Host, Path: r.URL.EscapedPath(), URI: r.RequestURI, Header: r.Header, Key: r.Header.Get("Key"), Caller: r.RemoteAddr}
		q.Header.Del("Key")
		return q, nil
	}
	c, err := cowslipconfig.Parse([]byte(explainedConfig))
	require.NoError(t, err)
	var l []*cowsliproute.Route
	for _, r := range c.Routes() {
		l = append(l, cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: r}))
	}
	x.options = cowsliproute.ViewOptions{Revision: 7, FailureDomain: "cerro", Config: c, Routes: cowsliproute.NewTable(l), Workspaces: cowslipworkspace.NewDirectory(c)}
	for _, n := range []string{"single", "a", "b"} {
		for i := range 4 {
			y := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: fmt.Sprint(n, i), Addr: fmt.Sprint(n, i), Service: n, FailureDomain: []string{"cerro", "plan"}[i%2], Version: []string{"v1", "v1", "v2", "v2"}[i], Slots: 2})
			y.SetLimit(3)
			x.targets[n] = append(x.targets[n], y)
		}
	}
	return x
}

// publish makes the view that the entry uses.
func (x *explained) publish() {
	x.options.Services, x.options.TargetsByAddr = map[string]*cowsliproute.Service{}, map[string]*cowsliproute.Target{}
	x.all(func(t *cowsliproute.Target) { x.options.TargetsByAddr[t.Info().Addr] = t })
	for _, t := range x.others {
		x.options.TargetsByAddr[t.Info().Addr] = t
	}
	for _, c := range x.options.Config.Services() {
		s := cowsliproute.ServiceOptions{Config: c, Snapshots: []cowsliproute.Snapshot{{Shards: []cowsliproute.Shard{{Replicas: x.targets[c.Name()]}}}}}
		if c.Name() == "single" {
			s.Move = x.move
		}
		x.options.Services[c.Name()] = cowsliproute.NewService(s)
	}
	x.entry.view.Store(cowsliproute.NewView(x.options))
}

func (x *explained) all(f func(*cowsliproute.Target)) {
	for _, l := range x.targets {
		for _, t := range l {
			f(t)
		}
	}
}

func question(path string) RouteQuestion {
	return RouteQuestion{Method: "GET", URL: "http://h" + path, Headers: map[string][]string{"Key": {"secret-1"}}}
}

// Guards against a decision that differs from that on the request itself, and against reasons
// that are missing.
func TestRouteIsExplained(t *testing.T) {
	request := func(path string) Request {
		return Request{Method: "GET", Host: "h", Path: path, URI: path, Key: "secret-1"}
	}
	for _, c := range []struct {
		name     string
		path     string
		key      string
		change   func(x *explained)
		decision RouteDecision
		reason   string
		check    func(t *testing.T, x RouteExplanation)
	}{
		{name: "single", path: "/single/x", decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, &WorkspaceExplanation{Name: "acme", Key: "known", Required: true}, x.Workspace)
			require.Equal(t, "harmless", x.Suspicion.Verdict)
			require.Equal(t, 2, x.Route.Priority)
			require.Len(t, x.Services, 1)
			require.Len(t, x.Services[0].Candidates, 4)
			require.Nil(t, x.Guard)
		}},
		{name: "no configuration", path: "/single/x", change: func(x *explained) { x.options.Revision = 0 }, decision: RouteRefuse, reason: unconfiguredReason},
		{name: "no route", path: "/none", decision: RouteRefuse, reason: noRouteReason},
		{name: "unknown key", path: "/single/x", key: "secret-2", decision: RouteRefuse, reason: unauthorizedReason, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, &WorkspaceExplanation{Key: "unknown", Required: true}, x.Workspace)
		}},
		{name: "public", path: "/open/x", key: "secret-2", decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, &WorkspaceExplanation{Key: "ignored"}, x.Workspace)
		}},
		{name: "held", path: "/single/x", change: func(x *explained) {
			x.options.CrashVerdicts = map[uint64]cowsliproute.Suspicion{request("/single/x").content(): {Verdict: cowsliproute.Quarantined, HeldUntil: x.now.Add(time.Minute)}}
		}, decision: RouteRefuse, reason: heldReason, check: func(t *testing.T, x RouteExplanation) {
			require.EqualValues(t, 60_000, x.RetryAfterMillis)
		}},
		{name: "stopping", path: "/single/x", change: func(x *explained) { x.entry.answerBy.Store(&x.now) }, decision: RouteRefuse, reason: stoppingReason},
		{name: "no target", path: "/single/x", change: func(x *explained) { x.targets["single"] = nil }, decision: RouteRefuse, reason: "too few services have a target that may be asked"},
		{name: "all leave", path: "/wide/x", change: func(x *explained) { x.all(func(y *cowsliproute.Target) { y.SetLeaving(true) }) }, decision: RouteRefuse, reason: "too few services have a target that may be asked"},
		{name: "all paused", path: "/single/x", change: func(x *explained) { x.all(func(y *cowsliproute.Target) { y.Pause(x.now.Add(time.Hour)) }) }, decision: RouteRefuse, reason: "too few services have a target that takes a request now"},
		{name: "all at their limits", path: "/wide/x", change: func(x *explained) {
			x.all(func(y *cowsliproute.Target) { y.SetLimit(1); y.Acquire() })
		}, decision: RouteWait, reason: "0 of 2 services have a target that can be asked now, and 2 must answer", check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, map[cowsliproute.Obstacle]int{cowsliproute.AtLimit: 4}, x.Services[1].RuledOut)
		}},
		{name: "wide", path: "/wide/x", decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, &GuardExplanation{}, x.Guard)
			require.Len(t, x.Services, 2)
			require.Empty(t, x.Services[0].Candidates)
			require.Equal(t, 4, x.Services[0].Eligible)
		}},
		{name: "wide while others crash", path: "/wide/x", change: func(x *explained) {
			x.entry.wide.guards.Of("b").Loss(x.now, cowslipguard.Loss{Request: 1})
		}, decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.True(t, x.Guard.Alert)
			require.Len(t, x.Guard.Probes, 1)
		}},
		{name: "wide, a target has just crashed under it", path: "/wide/x", change: func(x *explained) {
			x.entry.wide.guards.Of("a").Loss(x.now, cowslipguard.Loss{Request: request("/wide/x").copies()})
		}, decision: RouteRefuse, reason: "a target crashed under the request"},
		{name: "relayed", path: "/wide/x", change: func(x *explained) {
			x.options.Relays = []*cowsliproute.Relay{cowsliproute.NewRelay("n2", "1", "plan"), cowsliproute.NewRelay("n3", "2", "cerro"), cowsliproute.NewRelay("n4", "3", "cerro")}
			x.options.Relays[2].Avoid(x.now.Add(time.Minute))
			x.all(func(y *cowsliproute.Target) { y.SetLeaving(true) })
		}, decision: RouteRelay, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, "too few services have a target that may be asked", x.IfNotRelayed)
			require.Equal(t, []RelayExplanation{{ID: "n2", FailureDomain: "plan", RuledOut: "otherDomain"}, {ID: "n3", FailureDomain: "cerro", Candidate: true}, {ID: "n4", FailureDomain: "cerro", RuledOut: "avoided"}}, x.Relays)
		}},
		{name: "candidates", path: "/single/x", change: func(x *explained) {
			l := x.targets["single"]
			x.move = &cowsliproute.MoveView{From: "v1", To: "v3", RouteShares: map[string]float64{"single": 0.25}, CanaryInFlight: &atomic.Bool{}}
			l[0].SetLoad(5)
			l[0].SetEstimate(1.25, 6, 1)
			l[0].ObserveLatency(2 * cowsliproute.NominalLatency)
			l[1].Suspend()
		}, decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			s := x.Services[0]
			require.Equal(t, "25% v3, else v1; the others v1", s.Versions)
			require.Equal(t, TargetExplanation{ID: "single0", FailureDomain: "cerro", Version: "v1", Limit: 3, Load: 5, Slots: 2, Latency: 2, Speed: 1.25, LearnedLimit: 6, NewConnection: true}, s.Candidates[0])
			require.Equal(t, cowsliproute.Suspended, s.Candidates[1].RuledOut)
			require.Equal(t, map[cowsliproute.Obstacle]int{cowsliproute.Suspended: 1, cowsliproute.OtherVersion: 2}, s.RuledOut)
		}},
		{name: "split, one service has no target", path: "/split/x", change: func(x *explained) { x.targets["a"] = nil }, decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, []float64{0.75, 0.25, 0}, []float64{x.Services[0].Share, x.Services[1].Share, x.Services[2].Share})
			require.Equal(t, "too few services have a target that may be asked", x.Services[0].Refused)
			require.Empty(t, x.Services[1].Refused)
			require.Len(t, x.Services[1].Candidates, 4)
		}},
		{name: "split, only a service without weight has targets", path: "/split/x", change: func(x *explained) { x.targets["a"], x.targets["b"] = nil, nil }, decision: RouteRefuse, reason: "too few services have a target that may be asked"},
		{name: "known targets that are no replicas", path: "/single/x", change: func(x *explained) {
			l := x.targets["single"]
			x.targets["single"], x.others = l[:2], l[2:]
			l[3].SetLeaving(true)
		}, decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, map[cowsliproute.Obstacle]int{cowsliproute.NotServing: 1, cowsliproute.Leaving: 1}, x.Services[0].RuledOut)
			require.Equal(t, 2, x.Services[0].Eligible)
			require.Len(t, x.Services[0].Candidates, 4)
		}},
		{name: "cut off", path: "/single/x", change: func(x *explained) {
			x.options.Freshness = &cowsliproute.Freshness{}
			x.options.Freshness.Set(x.now.Add(-time.Second), x.now.Add(time.Hour), x.now.Add(-time.Second))
		}, decision: RouteSend, check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, "own", x.Scope)
			require.Equal(t, map[cowsliproute.Obstacle]int{cowsliproute.OtherDomain: 2}, x.Services[0].RuledOut)
		}},
		{name: "after a pause of the process", path: "/single/x", change: func(x *explained) { x.options.Freshness = &cowsliproute.Freshness{} }, decision: RouteWait, reason: "no target can be asked now", check: func(t *testing.T, x RouteExplanation) {
			require.Equal(t, map[cowsliproute.Obstacle]int{cowsliproute.NotConfirmed: 4}, x.Services[0].RuledOut)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newExplained(t)
			if c.change != nil {
				c.change(e)
			}
			e.publish()
			q, r := question(c.path), request(c.path)
			if c.key != "" {
				q.Headers["Key"], r.Key = []string{c.key}, c.key
			}
			x, bad := e.entry.explainRoute(q)
			require.Nil(t, bad)
			require.Equal(t, c.decision, x.Decision, x.Reason)
			require.Equal(t, c.reason, x.Reason)
			if c.check != nil {
				c.check(t, x)
			}
			g := rand.New(rand.NewPCG(1, 2))
			for range 20 {
				if p := e.entry.view.Load().PickRelay(e.now, time.Second, g); p != nil && x.Relays != nil {
					require.Contains(t, x.Relays, RelayExplanation{ID: p.ID(), FailureDomain: p.FailureDomain(), Candidate: true})
				}
			}
			b, err := json.Marshal(x)
			require.NoError(t, err)
			require.NotContains(t, string(b)+e.log.String(), "secret")
			if c.decision == RouteRefuse {
				require.Equal(t, c.reason, e.entry.Forward(t.Context(), r).Reason, "the request itself is refused for the same reason")
			}
		})
	}
}

// Guards against a question that takes capacity, a token of a pace, a canary or a guard, or that is
// counted or logged as a request.
func TestExplanationChangesNothing(t *testing.T) {
	e := newExplained(t)
	busy := &atomic.Bool{}
	e.move = &cowsliproute.MoveView{From: "v1", To: "v2", Canary: true, CanaryInFlight: busy}
	e.options.Relays = []*cowsliproute.Relay{cowsliproute.NewRelay("n2", "1", "cerro")}
	e.all(func(y *cowsliproute.Target) { y.SetPace(e.now, 1, 1) })
	e.publish()
	e.entry.wide.guards.Of("a").Loss(e.now, cowslipguard.Loss{Request: 1})
	calm := e.entry.wide.guards.Of("b")
	before := e.entry.metrics.vars.String()
	for range 50 {
		for _, p := range []string{"/single/x", "/wide/x", "/open/x", "/none"} {
			for _, k := range []string{"secret-1", "secret-2"} {
				q := question(p)
				q.Headers["Key"] = []string{k}
				_, bad := e.entry.explainRoute(q)
				require.Nil(t, bad)
			}
		}
	}
	require.Equal(t, before, e.entry.metrics.vars.String())
	require.Empty(t, e.log.String())
	require.False(t, busy.Load())
	require.Same(t, calm, e.entry.wide.guards.Of("b"), "guards are not merged")
	require.Zero(t, e.options.Relays[0].InFlight())
	v := e.entry.view.Load()
	g := rand.New(rand.NewPCG(1, 2))
	e.all(func(y *cowsliproute.Target) {
		require.Zero(t, y.InFlight())
		require.Zero(t, y.SendDelay(e.now))
		require.Same(t, y, v.Pick([]*cowsliproute.Target{y}, cowsliproute.PickOptions{Now: e.now}, g), "the token is left")
	})
}

// Guards against candidates of all shards of a wide request at once, and of a service that the
// request does not go to.
func TestCandidatesOfOneService(t *testing.T) {
	e := newExplained(t)
	e.publish()
	q := question("/wide/x")
	q.Service = "b"
	x, bad := e.entry.explainRoute(q)
	require.Nil(t, bad)
	require.Empty(t, x.Services[0].Candidates)
	require.Len(t, x.Services[1].Candidates, 4)
	q.Service = "single"
	_, bad = e.entry.explainRoute(q)
	require.Equal(t, CodeUnknownService, bad.Code)
}

// Guards against a key in the answer to a malformed question, and against one that is not refused.
func TestMalformedQuestions(t *testing.T) {
	e := newExplained(t)
	e.publish()
	for _, q := range []RouteQuestion{
		{Method: "GET", URL: "secret-1"},
		{Method: "GET", URL: "http://secret-1@[h/x"},
		{Method: "secret 1", URL: "http://h/x"},
		{},
	} {
		_, bad := e.entry.explainRoute(q)
		require.NotNil(t, bad)
		require.Equal(t, CodeBadRequest, bad.Code)
		require.NotContains(t, bad.Error(), "secret")
	}
}
