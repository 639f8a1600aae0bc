package cowsliproute_test

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func replicas(n int) []*cowsliproute.Target {
	var l []*cowsliproute.Target
	for i := range n {
		t := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: fmt.Sprint("t", i), FailureDomain: []string{"cerro", "plan"}[i%2], Version: "v1", Slots: 2})
		t.SetLimit(1 << 30)
		l = append(l, t)
	}
	return l
}

func TestAcquire(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*cowsliproute.Target)
		want   bool
	}{
		{"room", func(*cowsliproute.Target) {}, true},
		{"no limit set", func(x *cowsliproute.Target) { x.SetLimit(0) }, false},
		{"at its limit", func(x *cowsliproute.Target) { x.SetLimit(1); x.Acquire() }, false},
		{"leaving", func(x *cowsliproute.Target) { x.SetLeaving(true) }, false},
		{"held", func(x *cowsliproute.Target) { x.Suspend() }, false},
		{"an older hold cleared", func(x *cowsliproute.Target) { x.Suspend(); h := x.Suspension(); x.Suspend(); x.Resume(h) }, false},
		{"the hold cleared", func(x *cowsliproute.Target) { x.Suspend(); x.Resume(x.Suspension()) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := replicas(1)[0]
			c.change(x)
			require.Equal(t, c.want, x.Acquire())
		})
	}
}

func TestPickPrefersTheIdleReplica(t *testing.T) {
	v := cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro"})
	r := rand.New(rand.NewPCG(1, 2))
	l := replicas(2)
	l[0].SetLoad(4)
	for range 20 {
		x := v.Pick(l, cowsliproute.PickOptions{}, r)
		require.Same(t, l[1], x)
		x.Release()
	}
	require.Nil(t, v.Pick(l, cowsliproute.PickOptions{Version: cowsliproute.OnlyVersion("v2")}, r))
	require.Same(t, l[0], v.Pick(l, cowsliproute.PickOptions{OwnDomainOnly: true}, r))
	require.Nil(t, v.Pick(l, cowsliproute.PickOptions{OwnDomainOnly: true, IdleOnly: true}, r))
	require.Same(t, l[0], v.Pick(l, cowsliproute.PickOptions{Exclude: l[1:]}, r))
}

// A straggler must be avoided even if all its requests are cancelled because hedges answer
// first, so that it yields no complete latency samples.
func TestCancelledRequestsTellOfAStraggler(t *testing.T) {
	v := cowsliproute.NewView(cowsliproute.ViewOptions{})
	r := rand.New(rand.NewPCG(1, 2))
	l := replicas(2)
	for _, x := range l {
		x.ObserveLatency(8 * time.Millisecond)
	}
	l[0].ObserveMinLatency(20 * time.Millisecond)
	l[1].ObserveMinLatency(time.Millisecond)
	for range 20 {
		x := v.Pick(l, cowsliproute.PickOptions{}, r)
		require.Same(t, l[1], x)
		x.Release()
	}
}

func TestPickAllocatesNothing(t *testing.T) {
	v := cowsliproute.NewView(cowsliproute.ViewOptions{})
	r := rand.New(rand.NewPCG(1, 2))
	l := replicas(9)
	require.Zero(t, testing.AllocsPerRun(1000, func() { v.Pick(l, cowsliproute.PickOptions{Version: cowsliproute.OnlyVersion("v1")}, r).Release() }))
}

func TestBudget(t *testing.T) {
	var b cowsliproute.Budget
	require.False(t, b.Spend(t0))
	for range 100 {
		b.Earn(0.05)
	}
	n := 0
	for b.Spend(t0) {
		n++
	}
	require.Equal(t, 5, n, "5% of 100 requests")
	b.Earn(1000)
	for n = 0; b.Spend(t0); {
		n++
	}
	require.LessOrEqual(t, n, 10, "the accumulated budget is bounded")
}

// When a process pauses while callers keep sending to full targets, the queries that were
// not admitted meanwhile must not all be admitted at once afterwards.
func TestNoBurstAfterAPause(t *testing.T) {
	for _, x := range []struct {
		overloads, burst int
	}{{0, 4}, {4, 4}, {8, 2}, {12, 2}} {
		var l cowsliproute.Limiter
		now := t0
		for range x.overloads {
			now = now.Add(200 * time.Millisecond)
			l.RecordOverload(now)
		}
		now = now.Add(10 * time.Second)
		n := 0
		for l.Admit(now, 9) {
			n++
		}
		require.Equal(t, x.burst, n, "at %.1f queries a second", l.Rate())
	}
}

func TestLimiterFollowsTheTargets(t *testing.T) {
	var l cowsliproute.Limiter
	now := t0
	admitted := func(capacity float64) float64 {
		n, credit := 0, 0.0
		start := now
		for now.Before(start.Add(20 * time.Second)) {
			now = now.Add(5 * time.Millisecond)
			credit = min(credit+capacity*0.005, 3)
			if !l.Admit(now, 5) {
				continue
			}
			n++
			if credit--; credit < 0 {
				l.RecordOverload(now)
			} else {
				l.RecordAnswer(now)
			}
		}
		return float64(n) / 20
	}
	admitted(20)
	require.InDelta(t, 20, admitted(20), 5)
	admitted(80)
	require.InDelta(t, 80, admitted(80), 20)
}

func TestLowPrioritiesAreRefusedFirst(t *testing.T) {
	var l cowsliproute.Limiter
	n := map[int]int{}
	for _, p := range []int{0, 9} {
		for l = (cowsliproute.Limiter{}); l.Admit(t0, p); {
			n[p]++
		}
	}
	require.Greater(t, n[9], n[0])
	require.NotZero(t, n[0])
}

func TestVersions(t *testing.T) {
	c, err := cowslipconfig.Parse([]byte("[[failureDomains]]\nname='a'\n[[services]]\nname='s'\nkind='narrow'\nversion='v1'\n"))
	require.NoError(t, err)
	s, _ := c.Service("s")
	busy := &atomic.Bool{}
	for _, x := range []struct {
		name string
		move *cowsliproute.MoveView
		draw float64
		want cowsliproute.VersionPreference
	}{
		{"no move", nil, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v1")}},
		{"canary of another instance", &cowsliproute.MoveView{From: "v1", To: "v2", CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v1")}},
		{"canary", &cowsliproute.MoveView{From: "v1", To: "v2", Canary: true, CanaryInFlight: busy}, 0.9, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v2"), Fallback: cowsliproute.OnlyVersion("v1"), HasFallback: true}},
		{"in the share", &cowsliproute.MoveView{From: "v1", To: "v2", RouteShares: map[string]float64{"r": 0.5}, CanaryInFlight: busy}, 0.4, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v2"), Fallback: cowsliproute.OnlyVersion("v1"), HasFallback: true}},
		{"beyond the share", &cowsliproute.MoveView{From: "v1", To: "v2", RouteShares: map[string]float64{"r": 0.5}, CanaryInFlight: busy}, 0.6, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v1")}},
		{"stopped", &cowsliproute.MoveView{From: "v1", To: "v2", RouteShares: map[string]float64{"r": 1}, Stopped: true, CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v1")}},
		{"from any version", &cowsliproute.MoveView{To: "v2", CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.ExceptVersion("v2")}},
		{"old version gone", &cowsliproute.MoveView{To: "v2", OldGone: true, RouteShares: map[string]float64{"r": 0}, CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.ExceptVersion("v2"), Fallback: cowsliproute.OnlyVersion("v2"), HasFallback: true}},
		{"old version gone, no evidence, may try", &cowsliproute.MoveView{To: "v2", OldGone: true, MayTry: true, CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.ExceptVersion("v2"), Fallback: cowsliproute.OnlyVersion("v2"), HasFallback: true}},
		{"old version gone, no evidence", &cowsliproute.MoveView{To: "v2", OldGone: true, CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.ExceptVersion("v2")}},
		{"old version gone, stopped", &cowsliproute.MoveView{To: "v2", OldGone: true, MayTry: true, Stopped: true, CanaryInFlight: busy}, 0, cowsliproute.VersionPreference{Preferred: cowsliproute.ExceptVersion("v2")}},
		{"done", &cowsliproute.MoveView{From: "v1", To: "v2", Done: true, CanaryInFlight: busy}, 0.9, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v2")}},
	} {
		t.Run(x.name, func(t *testing.T) {
			v := cowsliproute.NewService(cowsliproute.ServiceOptions{Config: s, Move: x.move})
			p, release := v.ChooseVersions("r", x.draw)
			require.Equal(t, x.want, p)
			if x.name == "canary" {
				p, _ = v.ChooseVersions("r", x.draw)
				require.Equal(t, cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v1")}, p, "one at a time")
			}
			release()
		})
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{2, 9, 100, 1000, 10000, 59000} {
		b.Run(fmt.Sprint(n, " replicas"), func(b *testing.B) {
			v := cowsliproute.NewView(cowsliproute.ViewOptions{})
			r := rand.New(rand.NewPCG(1, 2))
			l := replicas(n)
			b.ReportAllocs()
			for b.Loop() {
				v.Pick(l, cowsliproute.PickOptions{Version: cowsliproute.OnlyVersion("v1")}, r).Release()
			}
		})
	}
}

// Only a request with PreferOwnDomain prefers targets in its own failure domain, and only
// if they are as good. Other requests are spread over all failure domains, so that a newly
// started target gets requests wherever it is.
func TestPickNear(t *testing.T) {
	v := cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro"})
	r := rand.New(rand.NewPCG(1, 2))
	l := replicas(2)
	picked := func(o cowsliproute.PickOptions) map[string]int {
		n := map[string]int{}
		for range 100 {
			x := v.Pick(l, o, r)
			n[x.Info().FailureDomain]++
			x.Release()
		}
		return n
	}
	require.Equal(t, map[string]int{"cerro": 100}, picked(cowsliproute.PickOptions{PreferOwnDomain: true}))
	require.Greater(t, picked(cowsliproute.PickOptions{})["plan"], 20)
	l[0].SetLoad(3)
	require.Equal(t, map[string]int{"plan": 100}, picked(cowsliproute.PickOptions{PreferOwnDomain: true}), "the target in the other failure domain is much better")
}

// The baseline without regard to load must use all replicas that may be asked equally
// often, also those that follow ones that may not.
func TestRoundRobinUsesAllEligibleReplicas(t *testing.T) {
	var l []*cowsliproute.Target
	for i := range 5 {
		x := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: fmt.Sprint(i), Slots: 1})
		x.SetLimit(1)
		x.SetLeaving(i < 3)
		l = append(l, x)
	}
	v := cowsliproute.NewView(cowsliproute.ViewOptions{RoundRobin: true})
	r := rand.New(rand.NewPCG(1, 2))
	picks := map[string]int{}
	const rounds = 2000
	for range rounds {
		x := v.Pick(l, cowsliproute.PickOptions{}, r)
		require.NotNil(t, x)
		picks[x.Info().ID]++
		x.Release()
	}
	require.InDelta(t, rounds/2, picks["3"], rounds/20)
	require.InDelta(t, rounds/2, picks["4"], rounds/20)
}
