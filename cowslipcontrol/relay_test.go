package cowslipcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"regexp"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"

	"github.com/stretchr/testify/require"
)

// newWithCapacities returns the first instance of a fleet whose members have the given
// capacities.
func newWithCapacities(now time.Time, capacities ...float64) *cowslipcontrol.Control {
	c := cowslipcontrol.New(cowslipcontrol.Options{ID: "e0", FailureDomain: "cerro", Capacity: capacities[0], ListOnly: true, Bounds: cowslipcontrol.Bounds{RetrySlack: 100, RetryWindow: 10 * time.Second}}, now)
	var l []cowslipcontrol.Member
	for i, x := range capacities {
		l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("e", i), FailureDomain: "cerro", Addr: fmt.Sprint("e", i), Capacity: x})
	}
	c.UpdateMembers(now, l)
	return c
}

// Scenario: instances of unequal size receive wide requests. The small ones must pass
// theirs on and keep no connections to shards, so that the large ones share all of the
// connections. If all instances are equal, or the large ones are gone, each instance
// must send to the shards itself.
func TestSmallInstancesPassWideQueriesOn(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name       string
		capacities []float64 // that of this instance first
		gone       []string
		relays     []string
		keeps      bool
	}{
		{"small beside large", []float64{0.2, 0.2, 0.8, 0.8}, nil, []string{"e2", "e3"}, false},
		{"large beside small", []float64{0.8, 0.2, 0.2, 0.8}, nil, nil, true},
		{"equals", []float64{0.4, 0.4, 0.4}, nil, nil, true},
		{"not much larger", []float64{0.4, 0.7, 0.7}, nil, nil, true},
		{"sizes not known", []float64{0, 0, 0}, nil, nil, true},
		{"own size not known", []float64{0, 0.8}, nil, nil, true},
		{"one large instance gone", []float64{0.2, 0.2, 0.8, 0.8}, []string{"e2"}, []string{"e3"}, false},
		{"all large instances gone", []float64{0.2, 0.2, 0.8, 0.8}, []string{"e2", "e3"}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newWithCapacities(now, c.capacities...)
			require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
			x.UpdateTargets(now, instances(spreadReplicas...))
			for _, id := range c.gone {
				x.PeerFailed(now, id, true)
			}
			x.Tick(now)
			v := x.View()
			found := map[string]bool{}
			g := rand.New(rand.NewPCG(1, 2))
			for range 50 {
				if r := v.PickRelay(now, time.Second, g); r != nil {
					found[r.ID()] = true
				}
			}
			require.Len(t, found, len(c.relays))
			for _, r := range c.relays {
				require.True(t, found[r], r)
			}
			h := v.Target("s0-cerro")
			require.NotZero(t, h.Limit(), "every instance can send to a shard")
			require.Equal(t, c.keeps, h.MaxIdleConns() > 0)
		})
	}
}

// The retries that all instances together may send in a window must stay within the
// slack, whether or not some instances pass wide requests on.
func TestRetriesOfAllInstancesStayWithinTheSlack(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	const slack = 200
	for _, sizes := range [][]float64{{0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4, 0.4}, {0.8, 0.8, 0.2, 0.2, 0.2, 0.2, 0.2, 0.2}} {
		spent := 0
		for own := range sizes {
			o := cowslipcontrol.Options{ID: fmt.Sprint("e", own), FailureDomain: "cerro", Capacity: sizes[own], ListOnly: true, Bounds: cowslipcontrol.Bounds{RetrySlack: slack, RetryWindow: 10 * time.Second}}
			x := cowslipcontrol.New(o, now)
			var l []cowslipcontrol.Member
			for i, n := range sizes {
				l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("e", i), FailureDomain: "cerro", Addr: fmt.Sprint("e", i), Capacity: n})
			}
			x.UpdateMembers(now, l)
			require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
			x.Tick(now)
			b := x.View().Service("s0").Budget()
			b.Earn(slack)
			for d := time.Duration(0); d <= 10*time.Second; d += 10 * time.Millisecond {
				for b.Spend(now.Add(d)) {
					spent++
				}
			}
		}
		require.LessOrEqual(t, spent, slack)
		require.Greater(t, spent, slack/2)
	}
}

// Scenario: an instance is killed and restarts. After its host has refused connections
// it must count as present again once its new incarnation is listed, even if nobody has
// called it.
func TestRestartedInstanceCountsAgain(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	x := newWithCapacities(now, 0.2, 0.8)
	relays := func() int {
		x.Tick(now)
		if x.View().PickRelay(now, time.Second, rand.New(rand.NewPCG(1, 2))) == nil {
			return 0
		}
		return 1
	}
	list := func(incarnation string) {
		x.UpdateMembers(now, []cowslipcontrol.Member{{ID: "e1", FailureDomain: "cerro", Addr: "e1", Capacity: 0.8, Incarnation: incarnation}})
	}
	list("run1")
	require.Equal(t, 1, relays())
	now = now.Add(time.Second)
	x.PeerFailed(now, "e1", true)
	require.Zero(t, relays())
	list("run1")
	require.Zero(t, relays(), "the entry of the killed process stays listed until its lease expires")
	list("run2")
	require.Equal(t, 1, relays())
}

// Scenario: a small instance passes its wide requests on, so it is no sender of the
// gathered services. When targets of these become cold, here because an edit raises the
// warm-up time, it must send nothing to them, and the large instance must use the cold
// slots.
func TestColdTargetsOfPassedOnRequests(t *testing.T) {
	for _, c := range []struct {
		name       string
		capacities []float64
		limit      int
	}{
		{"small instance", []float64{0.2, 0.8}, 0},
		{"large instance", []float64{0.8, 0.2}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			x := newWithCapacities(now, c.capacities...)
			require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
			x.UpdateTargets(now, instances(spreadReplicas...))
			for end := now.Add(12 * time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
				x.Tick(now)
			}
			text := regexp.MustCompile(`(?m)^(kind = .*)$`).ReplaceAllString(sixShardConfig, "$1\nwarmTime = \"60s\"\ncoldSlots = 1")
			require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 2, Text: text}, "test"))
			x.Tick(now)
			require.Equal(t, c.limit, x.View().Target("s0-cerro").Limit())
		})
	}
}

// Guards against warnings to instances that have no use for them, and against one that sends wide
// requests and is not warned.
func TestInstancesThatSendWideRequests(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name       string
		capacities []float64 // that of this instance first
		gone       []string
		peers      []string
	}{
		{"small beside large", []float64{0.2, 0.2, 0.8, 0.8}, nil, []string{"e2", "e3"}},
		{"large beside small", []float64{0.8, 0.2, 0.2, 0.8}, nil, []string{"e3"}},
		{"equals", []float64{0.4, 0.4, 0.4}, nil, []string{"e1", "e2"}},
		{"one large instance gone", []float64{0.2, 0.2, 0.8, 0.8}, []string{"e2"}, []string{"e3"}},
		{"all large instances gone", []float64{0.2, 0.2, 0.8}, []string{"e2"}, []string{"e1"}},
		{"alone", []float64{0.2}, nil, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newWithCapacities(now, c.capacities...)
			for _, id := range c.gone {
				x.PeerFailed(now, id, true)
			}
			var l []string
			for _, m := range x.WidePeers() {
				require.NotEmpty(t, m.Addr)
				l = append(l, m.ID)
			}
			require.ElementsMatch(t, c.peers, l)
		})
	}
}
