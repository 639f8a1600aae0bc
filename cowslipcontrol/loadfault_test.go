package cowslipcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// loadSimulation is a move of a service with several targets of each version, which know how many
// requests they run, and with a second route.
type loadSimulation struct {
	*lateFaultSimulation
	few  float64                                              // part of the requests that the second route has
	slow bool                                                 // bad answers are slow; otherwise they fail
	bad  func(x *loadSimulation, route string, busy int) bool // whether the new version answers badly
	busy map[string]int                                       // requests that a target runs, by its ID
}

func newLoadSimulation(t *testing.T, seed uint64, nodes, before, after int, rates map[string]float64) *loadSimulation {
	all := rates["r"] + rates["few"]
	x := &loadSimulation{lateFaultSimulation: newLateFaultSimulation(t, seed, nodes, all), few: rates["few"] / all, busy: map[string]int{}}
	var l []cowslipplatform.Instance
	for i := range before + after {
		v := "v1"
		if i >= before {
			v = "v2"
		}
		id := fmt.Sprint(v, "-", i)
		l = append(l, cowslipplatform.Instance{ID: id, Addr: id, Service: "s", FailureDomain: "cerro", Version: v, Slots: 6, Incarnation: "1"})
	}
	for _, c := range x.nodes {
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 2, Text: judgedConfig + "[[routes]]\nname = \"few\"\nhost = \"h.example\"\nprefix = \"/few/\"\nservice = \"s\"\n"}, "test"))
		c.UpdateTargets(x.now, l)
		c.Tick(x.now)
	}
	x.irregular = true
	x.request = func(c *cowslipcontrol.Control, _ time.Duration) { x.sendToOne(c) }
	x.ended = func(q pendingRequest) {
		x.busy[q.sample.Target.Info().ID]--
		q.sample.Target.Release()
	}
	return x
}

// sendToOne sends a request to a target that the view picks.
func (x *loadSimulation) sendToOne(c *cowslipcontrol.Control) {
	route, s := "r", c.View().Service("s")
	if x.random.Float64() < x.few {
		route = "few"
	}
	p, release := s.ChooseVersions(route, x.random.Float64())
	defer release()
	var t *cowsliproute.Target
	for _, v := range p.Sets() {
		if t = c.View().Pick(s.Snapshots()[0].Shards[0].Replicas, cowsliproute.PickOptions{Version: v, Now: x.now}, x.random); t != nil {
			break
		}
	}
	if t == nil {
		return
	}
	x.sentAll++
	i := t.Info()
	q := cowslipcontrol.Sample{Target: t, Route: route, Latency: time.Duration(40+x.random.IntN(100)) * time.Millisecond}
	if i.Version == "v2" {
		x.sentNew++
		switch bad := x.bad(x, route, x.busy[i.ID]); {
		case bad && x.slow:
			slowDown(&q)
		case bad:
			fail(&q)
		}
	}
	x.busy[i.ID]++
	x.pending = append(x.pending, pendingRequest{node: c, sample: q, end: x.now.Add(q.Latency)})
}

// Guards against a version that is bad under load, or on a route with few requests, and is recorded
// as done since the new targets had no load, or the route no evidence, until then.
func TestVersionThatIsBadUnderLoadIsNotDone(t *testing.T) {
	const (
		slots = 6
		seeds = 100
	)
	// A route with 1.5 requests a second has some 13 until the decision. If half of them fail, none or
	// one fails by chance in up to 2 of 100 moves, and a single failure is no evidence.
	least := map[string]int{"false": seeds * 97 / 100, "true": seeds * 99 / 100}
	underLoad := func(from int) func(*loadSimulation, string, int) bool {
		return func(_ *loadSimulation, _ string, busy int) bool { return busy >= from }
	}
	onFew := func(share float64) func(*loadSimulation, string, int) bool {
		return func(x *loadSimulation, route string, _ int) bool {
			return route == "few" && x.random.Float64() < share
		}
	}
	good := func(*loadSimulation, string, int) bool { return false }
	for _, c := range []struct {
		name          string
		nodes         int
		before, after int
		rates         map[string]float64
		slow          bool
		bad           func(x *loadSimulation, route string, busy int) bool
		want          string
	}{
		{"fails while most slots are taken", 3, 4, 4, map[string]float64{"r": 120}, false, underLoad(4), "false"},
		{"fails while half of the slots are taken", 8, 4, 4, map[string]float64{"r": 120}, false, underLoad(slots / 2), "false"},
		{"slow while half of the slots are taken", 3, 4, 4, map[string]float64{"r": 120}, true, underLoad(slots / 2), "false"},
		{"fails under load, two targets", 3, 2, 2, map[string]float64{"r": 60}, false, underLoad(4), "false"},
		{"fails under load, fewer new targets", 3, 4, 2, map[string]float64{"r": 60}, false, underLoad(4), "false"},
		{"half of the few requests of a route fail", 3, 4, 4, map[string]float64{"r": 60, "few": 1.5}, false, onFew(0.5), "false"},
		{"the few requests of a route fail", 8, 4, 4, map[string]float64{"r": 120, "few": 1.5}, false, onFew(1), "false"},
		{"good", 3, 4, 4, map[string]float64{"r": 120}, false, good, "true"},
		{"good, two routes", 3, 4, 4, map[string]float64{"r": 60, "few": 1.5}, false, good, "true"},
		{"good, two targets", 3, 2, 2, map[string]float64{"r": 60}, false, good, "true"},
		{"good, one target", 3, 1, 1, map[string]float64{"r": 30}, false, good, "true"},
		{"good, few requests", 3, 2, 2, map[string]float64{"r": 2, "few": 0.3}, false, good, "true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			ends := map[string]int{}
			for seed := range uint64(seeds) {
				x := newLoadSimulation(t, seed, c.nodes, c.before, c.after, c.rates)
				x.slow, x.bad = c.slow, c.bad
				ends[x.run()]++
				require.LessOrEqual(t, float64(x.sentNew), 0.1*float64(x.sentAll)+50, "seed %d", seed)
			}
			require.GreaterOrEqual(t, ends[c.want], least[c.want], "ends by whether the move is done: %v", ends)
		})
	}
}
