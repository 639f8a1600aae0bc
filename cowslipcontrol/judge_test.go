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

const judgedConfig = `
[[failureDomains]]
name = "cerro"
[[services]]
name = "s"
kind = "narrow"
[[routes]]
name = "r"
host = "h.example"
prefix = "/"
service = "s"
[[moves]]
service = "s"
to = "v2"
within = "12s"
order = 5
`

// judgeSimulation simulates instances on a platform that lists targets, with a
// move under way.
type judgeSimulation struct {
	t        *testing.T
	now      time.Time
	nodes    map[string]*cowslipcontrol.Control
	outcomes []string
	sent     map[string]int // requests by version
}

func newJudgeSimulation(t *testing.T, n int) *judgeSimulation {
	x := &judgeSimulation{t: t, now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), nodes: map[string]*cowslipcontrol.Control{}, sent: map[string]int{}}
	var l []cowslipcontrol.Member
	for i := range n {
		l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("e", i), FailureDomain: "cerro", Addr: fmt.Sprint("e", i)})
	}
	for _, m := range l {
		c := cowslipcontrol.New(cowslipcontrol.Options{ID: m.ID, FailureDomain: "cerro", Addr: m.Addr, ListOnly: true, Bounds: cowslipcontrol.Bounds{ExposeShare: 0.1, ExposeSlack: 50}}, x.now.Add(-time.Minute))
		c.UpdateMembers(x.now, l)
		c.Tick(x.now)
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 1, Text: judgedConfig}, "test"))
		c.UpdateTargets(x.now, []cowslipplatform.Instance{
			{ID: "old", Addr: "old", Service: "s", FailureDomain: "cerro", Version: "v1", Slots: 99, Incarnation: "1"},
			{ID: "new", Addr: "new", Service: "s", FailureDomain: "cerro", Version: "v2", Slots: 99, Incarnation: "1"},
		})
		c.Tick(x.now)
		x.nodes[m.ID] = c
	}
	return x
}

// run advances the simulation by d. Each instance sends one request per tick and
// exchanges state with the judges every half second.
func (x *judgeSimulation) run(d time.Duration, bad func() bool) {
	for end := x.now.Add(d); x.now.Before(end); {
		x.now = x.now.Add(tick)
		for _, c := range x.nodes {
			p, release := c.View().Service("s").ChooseVersions("r", 0.01)
			v, id := "v1", "old"
			if p.Preferred.Allows("v2") {
				v, id = "v2", "new"
			}
			s := cowslipcontrol.Sample{Target: c.View().Target(id), Route: "r", Latency: 10 * time.Millisecond, At: x.now}
			if v == "v2" && bad() {
				s.Outcome = cowsliptarget.Failed
			}
			x.sent[v]++
			release()
			c.Observe(s)
			_, e := c.Tick(x.now)
			for _, o := range e.Outcomes {
				x.outcomes = append(x.outcomes, fmt.Sprint(o.GetDone()))
			}
		}
		if x.now.UnixNano()%(500*time.Millisecond).Nanoseconds() == 0 {
			x.exchange()
		}
	}
}

func (x *judgeSimulation) exchange() {
	for id, c := range x.nodes {
		for _, p := range c.MovePeers() {
			if o := x.nodes[p.ID]; o != nil {
				o.Message(x.now, time.Time{}, c.State(x.now, p.ID))
				c.Message(x.now, x.now, o.State(x.now, id))
			}
		}
	}
}

// TestMoveIsJudgedByFew runs a move on a platform where instances don't exchange
// all their state. At most three of them judge the move and the others follow
// them. The new version must not receive more requests than its bound before the
// move ends, even if two judges are lost during the move.
func TestMoveIsJudgedByFew(t *testing.T) {
	for _, c := range []struct {
		name string
		bad  bool
		lose bool
		want string
	}{
		{"good", false, false, "true"},
		{"bad", true, false, "false"},
		{"good, judges lost", false, true, "true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newJudgeSimulation(t, 8)
			judges := x.nodes["e0"].MovePeers()
			require.LessOrEqual(t, len(judges), 3)
			x.run(4*time.Second, func() bool { return c.bad })
			if c.lose {
				for _, p := range judges[:2] {
					delete(x.nodes, p.ID)
				}
				for _, n := range x.nodes {
					for _, p := range judges[:2] {
						n.PeerFailed(x.now, p.ID, true)
					}
				}
			}
			for len(x.outcomes) == 0 && x.now.Before(time.Date(2026, 12, 4, 8, 0, 12, 0, time.UTC)) {
				x.run(tick, func() bool { return c.bad })
			}
			require.NotEmpty(t, x.outcomes, "the move ends in time")
			require.Equal(t, c.want, x.outcomes[0])
			all := x.sent["v1"] + x.sent["v2"]
			require.LessOrEqual(t, float64(x.sent["v2"]), 0.1*float64(all)+50)
			require.NotZero(t, x.sent["v2"])
			if c.bad {
				x.exchange()
				for _, n := range x.nodes {
					n.Tick(x.now)
					p, _ := n.View().Service("s").ChooseVersions("r", 0)
					require.Equal(t, cowsliproute.VersionPreference{Preferred: cowsliproute.ExceptVersion("v2")}, p)
				}
			}
		})
	}
}
