package cowslipcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// listOnlyBench drives an instance with Options.ListOnly in failure domain "cerro". It
// has one route that gathers from six services, each of which holds one shard.
type listOnlyBench struct {
	*cowslipcontrol.Control
	now time.Time
	log []string // kinds of events
}

func (x *listOnlyBench) events(kind string) (l []string) {
	for _, k := range x.log {
		if k == kind {
			l = append(l, k)
		}
	}
	return l
}

const sixShardConfig = `
[[failureDomains]]
name = "cerro"
[[failureDomains]]
name = "plan"
[[failureDomains]]
name = "puerto"
[[services]]
name = "s0"
kind = "narrow"
[[services]]
name = "s1"
kind = "narrow"
[[services]]
name = "s2"
kind = "narrow"
[[services]]
name = "s3"
kind = "narrow"
[[services]]
name = "s4"
kind = "narrow"
[[services]]
name = "s5"
kind = "narrow"
[[routes]]
name = "search"
host = "h.example"
prefix = "/search/"
gather = ["s0", "s1", "s2", "s3", "s4", "s5"]
minCoverage = 0.8
latencyTarget = "150ms"
`

// newListOnlyBench places the replicas of shard n in domains[n].
func newListOnlyBench(t *testing.T, domains ...[]string) *listOnlyBench {
	x := &listOnlyBench{now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	x.Control = cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", FailureDomain: "cerro", ListOnly: true, Bounds: cowslipcontrol.Bounds{RemovalGrace: time.Second}, Event: func(kind, _, _ string) { x.log = append(x.log, kind) }}, x.now)
	require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
	x.UpdateTargets(x.now, instances(domains...))
	x.tick(50 * time.Millisecond)
	return x
}

func instances(domains ...[]string) []cowslipplatform.Instance {
	var l []cowslipplatform.Instance
	for n, d := range domains {
		for _, z := range d {
			id := fmt.Sprintf("s%d-%s", n, z)
			l = append(l, cowslipplatform.Instance{ID: id, Addr: id, Service: fmt.Sprint("s", n), FailureDomain: z, Version: "v1", Slots: 2, Incarnation: "1"})
		}
	}
	return l
}

func (x *listOnlyBench) tick(d time.Duration) {
	x.now = x.now.Add(d)
	x.Tick(x.now)
}

func (x *listOnlyBench) replica(n int, domain string) *cowsliproute.Target {
	return x.View().Target(fmt.Sprintf("s%d-%s", n, domain))
}

// miss simulates requests that do not reach the replicas of some shards in a failure
// domain.
func (x *listOnlyBench) miss(domain string, shards ...int) {
	for _, n := range shards {
		x.observe(x.replica(n, domain), cowsliptarget.NotSent)
	}
	x.tick(50 * time.Millisecond)
}

func (x *listOnlyBench) observe(t *cowsliproute.Target, o cowsliptarget.Outcome) {
	x.Observe(cowslipcontrol.Sample{Target: t, Route: "search", Outcome: o, Latency: time.Millisecond, At: x.now})
}

// spreadReplicas places replicas of each of six shards in two of three failure domains.
var spreadReplicas = [][]string{{"cerro", "plan"}, {"plan", "puerto"}, {"cerro", "puerto"}, {"plan", "puerto"}, {"cerro", "plan"}, {"cerro", "puerto"}}

// Scenario: the network drops all packets to a failure domain under full traffic. Its
// targets must be taken out of use together, not each after failures of its own, and
// an instance that can no longer serve its routes must count as isolated.
func TestCutOffFailureDomainIsLeftAtOnce(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	cut := func(domain string, shards ...int) {
		for _, n := range shards {
			x.observe(x.replica(n, domain), cowsliptarget.NotSent)
		}
		x.tick(50 * time.Millisecond)
	}
	require.NotZero(t, x.replica(3, "plan").Limit())
	cut("plan", 0, 1, 3, 4)
	require.Zero(t, x.replica(1, "plan").Limit(), "the whole failure domain is out of use, though no single target failed often enough")
	require.NotZero(t, x.replica(0, "cerro").Limit())
	require.False(t, x.Isolated(x.now), "the third failure domain is still reachable")
	cut("puerto", 1, 2, 3, 5)
	require.True(t, x.Isolated(x.now))
	require.NotZero(t, x.replica(2, "cerro").Limit(), "targets of the own failure domain stay in use")
}

// Repeated failures of a few unreachable targets, or of one target while another
// answers, must not count as a cut.
func TestGoneTargetsAreNoCut(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	for range 20 {
		for _, n := range []int{0, 1, 4} {
			x.observe(x.replica(n, "plan"), cowsliptarget.NotSent)
		}
	}
	x.tick(50 * time.Millisecond)
	require.NotZero(t, x.replica(3, "plan").Limit())
	x = newListOnlyBench(t, spreadReplicas...)
	for range 20 {
		x.observe(x.replica(0, "plan"), cowsliptarget.NotSent)
		x.observe(x.replica(1, "plan"), cowsliptarget.OK)
	}
	x.tick(50 * time.Millisecond)
	require.NotZero(t, x.replica(3, "plan").Limit())
}

func TestCutOffFailureDomainIsReachedAgain(t *testing.T) {
	for _, c := range []struct {
		name string
		sign func(x *listOnlyBench)
		want bool
	}{
		{"no sign", func(*listOnlyBench) {}, false},
		{"an instance there answers", func(x *listOnlyBench) {
			x.UpdateMembers(x.now, []cowslipcontrol.Member{{ID: "e2", FailureDomain: "plan", Addr: "e2"}})
			x.PeerAnswered(x.now, "e2")
		}, true},
		{"a target there answers", func(x *listOnlyBench) { x.observe(x.replica(1, "plan"), cowsliptarget.Failed) }, true},
		{"time passes", func(x *listOnlyBench) { x.tick(2 * time.Second) }, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newListOnlyBench(t, spreadReplicas...)
			for _, n := range []int{0, 1, 3, 4} {
				x.observe(x.replica(n, "plan"), cowsliptarget.NotSent)
			}
			x.tick(50 * time.Millisecond)
			require.Zero(t, x.replica(3, "plan").Limit())
			c.sign(x)
			x.tick(50 * time.Millisecond)
			require.Equal(t, c.want, x.replica(3, "plan").Limit() > 0)
		})
	}
}

// Scenario: a cut refuses connections, so wide requests are refused at once and no
// requests are sent to failure domains whose cut has not been detected yet. The
// instance must still count as isolated until a target or an instance behind the cut
// answers. A retry without an answer must not end the isolation.
func TestIsolatedThoughNotAllWereAsked(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	x.UpdateMembers(x.now, []cowslipcontrol.Member{{ID: "e2", FailureDomain: "plan", Addr: "e2"}})
	x.PeerFailed(x.now, "e2", true)
	x.miss("plan", 0, 1, 3, 4)
	require.False(t, x.Isolated(x.now), "the third failure domain may still answer")
	require.Contains(t, x.PeersToProbe(), "plan", "instances that refused a connection are probed as well")
	x.tick(300 * time.Millisecond)
	require.True(t, x.Isolated(x.now))
	x.observe(x.replica(1, "puerto"), cowsliptarget.Lost)
	x.tick(7 * time.Second)
	require.NotZero(t, x.replica(3, "plan").Limit(), "targets are tried again after the timeout")
	require.True(t, x.Isolated(x.now))
	x.observe(x.replica(1, "puerto"), cowsliptarget.OK)
	x.tick(50 * time.Millisecond)
	require.False(t, x.Isolated(x.now))
}

// Scenario: a failure domain with many small instances is cut off. These pass wide
// requests on and send little traffic, so they must learn of the cut from an instance
// that sends more, unless another failure domain answers them.
func TestNeighbourTellsOfACut(t *testing.T) {
	for _, answered := range []bool{false, true} {
		x := newListOnlyBench(t, spreadReplicas...)
		x.UpdateMembers(x.now, []cowslipcontrol.Member{{ID: "e2", FailureDomain: "plan", Addr: "e2"}})
		if answered {
			x.PeerAnswered(x.now, "e2")
		}
		x.PeerIsolated(x.now)
		x.tick(50 * time.Millisecond)
		require.Equal(t, !answered, x.Isolated(x.now))
		require.NotZero(t, x.replica(1, "plan").Limit(), "targets stay in use for callers that still arrive")
		require.Equal(t, !answered, len(x.PeersToProbe()) > 0)
		x.PeerAnswered(x.now, "e2")
		x.tick(50 * time.Millisecond)
		require.False(t, x.Isolated(x.now))
	}
}

// Scenario: replicas of many shards hang, and one query's requests to them time out
// together. The failure domain must not count as cut off, since another of its targets
// answered in the meantime.
func TestHangingTargetsAreNoCut(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	for range 20 {
		x.observe(x.replica(4, "plan"), cowsliptarget.OK)
		x.tick(400 * time.Millisecond)
		for _, n := range []int{0, 1, 3, 4} {
			x.Observe(cowslipcontrol.Sample{Target: x.replica(n, "plan"), Route: "search", Outcome: cowsliptarget.Cancelled, TimedOut: true, Latency: 800 * time.Millisecond, At: x.now})
		}
		x.tick(50 * time.Millisecond)
		require.Empty(t, x.events("failureDomainCutOff"))
	}
}

// Scenario: a cut heals under traffic. No requests are sent to targets behind it, so
// its end is noticed only through probes of the instances there. Without an answer the
// targets must be tried again after the timeout.
func TestHealedCutEnds(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	x.UpdateMembers(x.now, []cowslipcontrol.Member{{ID: "e2", FailureDomain: "plan", Addr: "e2"}, {ID: "e3", FailureDomain: "puerto", Addr: "e3"}})
	require.Empty(t, x.PeersToProbe())
	x.miss("plan", 0, 1, 3, 4)
	require.Len(t, x.PeersToProbe(), 2, "the other failure domain has not answered since the cut")
	x.observe(x.replica(1, "puerto"), cowsliptarget.OK)
	require.Equal(t, map[string][]cowslipcontrol.Member{"plan": {{ID: "e2", FailureDomain: "plan", Addr: "e2"}}}, x.PeersToProbe())
	x.PeerAnswered(x.now, "e2")
	x.tick(50 * time.Millisecond)
	require.Empty(t, x.PeersToProbe())
	require.NotZero(t, x.replica(3, "plan").Limit())
	x.tick(10 * time.Second)
	x.miss("plan", 0, 1, 3, 4)
	x.tick(5 * time.Second)
	require.Zero(t, x.replica(3, "plan").Limit())
	x.tick(time.Second)
	require.NotZero(t, x.replica(3, "plan").Limit(), "targets are tried again after the timeout")
}

// Scenario: all targets of a failure domain are gone, but its instances answer. The
// targets must not be tried again after each of these answers.
func TestInstancesThatAnswerDoNotKeepDeadTargetsInUse(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	x.UpdateMembers(x.now, []cowslipcontrol.Member{{ID: "e2", FailureDomain: "plan", Addr: "e2"}})
	tries := 0
	for range 40 {
		if x.replica(3, "plan").Limit() > 0 {
			tries++
			x.miss("plan", 0, 1, 3, 4)
		}
		x.PeerAnswered(x.now, "e2")
		x.tick(250 * time.Millisecond)
	}
	require.LessOrEqual(t, tries, 4, "in 10 s")
}

// Scenario: the network drops all packets to a failure domain while requests are in
// flight on open connections. Its targets must be taken out of use before the
// requests time out.
func TestSilentFailureDomainIsLeft(t *testing.T) {
	for _, c := range []struct {
		name   string
		busy   []int
		change func(x *listOnlyBench)
		want   bool
	}{
		{"four targets are silent", []int{0, 1, 3, 4}, func(x *listOnlyBench) { x.observe(x.replica(0, "cerro"), cowsliptarget.OK) }, true},
		{"no target answers anywhere", []int{0, 1, 3, 4}, func(*listOnlyBench) {}, false},
		{"three targets are silent", []int{0, 1, 3}, func(*listOnlyBench) {}, false},
		{"another one answers", []int{0, 1, 3}, func(x *listOnlyBench) { x.observe(x.replica(4, "plan"), cowsliptarget.OK) }, false},
		{"the process stood still", []int{0, 1, 3, 4}, func(x *listOnlyBench) {
			x.tick(time.Second)
			x.observe(x.replica(0, "cerro"), cowsliptarget.OK)
		}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newListOnlyBench(t, spreadReplicas...)
			for _, n := range c.busy {
				h := x.replica(n, "plan")
				require.True(t, h.Acquire())
				h.RecordSent(x.now)
			}
			for range 4 {
				x.tick(50 * time.Millisecond)
			}
			c.change(x)
			require.NotZero(t, x.replica(0, "plan").Limit(), "twice the latency target has not passed")
			for range 3 {
				x.tick(50 * time.Millisecond)
			}
			require.Equal(t, c.want, x.replica(0, "plan").Limit() == 0)
		})
	}
}

// An instance must not count as isolated if the targets of its own failure domain
// serve every route.
func TestCutOffButServing(t *testing.T) {
	x := newListOnlyBench(t, []string{"cerro", "plan"}, []string{"cerro", "plan"}, []string{"cerro", "plan"}, []string{"cerro", "plan"})
	for _, n := range []int{0, 1, 2, 3} {
		x.observe(x.replica(n, "plan"), cowsliptarget.NotSent)
	}
	x.tick(50 * time.Millisecond)
	require.Zero(t, x.replica(0, "plan").Limit())
	require.False(t, x.Isolated(x.now))
}

// A target that is no longer listed must serve for the removal grace, and stay in use
// if it is listed again within that time.
func TestRemovedTargetServesForTheGrace(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	h := x.replica(1, "plan")
	x.UpdateTargets(x.now, instances([]string{"cerro", "plan"}))
	x.tick(500 * time.Millisecond)
	require.False(t, h.Leaving())
	x.UpdateTargets(x.now, instances(spreadReplicas...))
	x.tick(2 * time.Second)
	require.False(t, h.Leaving())
	x.UpdateTargets(x.now, instances([]string{"cerro", "plan"}))
	x.tick(1100 * time.Millisecond)
	require.True(t, h.Leaving())
}

// A listed target with a new incarnation must get a new handle.
func TestNewIncarnationIsANewTarget(t *testing.T) {
	x := newListOnlyBench(t, spreadReplicas...)
	h := x.replica(1, "plan")
	l := instances(spreadReplicas...)
	for i := range l {
		l[i].Incarnation = "2"
	}
	x.UpdateTargets(x.now, l)
	x.tick(50 * time.Millisecond)
	require.True(t, h.Leaving())
	require.NotSame(t, h, x.replica(1, "plan"))
	require.NotZero(t, x.replica(1, "plan").Limit())
}
