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

// judgeSimulation simulates instances with Options.ListOnly while a move is under
// way.
type judgeSimulation struct {
	t        *testing.T
	now      time.Time
	nodes    map[string]*cowslipcontrol.Control
	outcomes []string
	oldGone  bool           // no target of the old version is listed
	sent     map[string]int // requests by version; those refused under ""
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
			switch {
			case p.Preferred.Allows("v2"), x.oldGone && p.HasFallback && p.Fallback.Allows("v2"):
				v, id = "v2", "new"
			case x.oldGone:
				v = ""
			}
			x.sent[v]++
			release()
			s := cowslipcontrol.Sample{Target: c.View().Target(id), Route: "r", Latency: 10 * time.Millisecond, At: x.now}
			if v == "v2" && bad() {
				s.Outcome = cowsliptarget.Failed
			}
			if v != "" {
				c.Observe(s)
			}
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

// TestMoveIsJudgedByFew runs a move with Options.ListOnly, where instances don't all
// exchange their state. At most three of them judge the move and the others follow
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

// Guards against a move that refuses all requests for its whole time: instances that have just
// started know nothing of its end, after which the targets of the old version were stopped. A
// version that is bad gets no more requests than its bound.
func TestNewVersionServesOnceTheOldOneIsGone(t *testing.T) {
	for _, bad := range []bool{false, true} {
		x := newJudgeSimulation(t, 3)
		x.oldGone = true
		for _, c := range x.nodes {
			c.UpdateTargets(x.now, []cowslipplatform.Instance{{ID: "new", Addr: "new", Service: "s", FailureDomain: "cerro", Version: "v2", Slots: 99, Incarnation: "1"}})
		}
		x.run(6*time.Second, func() bool { return bad })
		if bad {
			require.Contains(t, x.outcomes, "false")
			require.LessOrEqual(t, float64(x.sent["v2"]), 0.1*float64(x.sent["v2"])+50)
			continue
		}
		x.sent = map[string]int{}
		x.run(time.Second, func() bool { return false })
		require.Zero(t, x.sent[""], "requests are refused though the new version is well")
		require.NotZero(t, x.sent["v2"])
		for len(x.outcomes) == 0 {
			x.run(tick, func() bool { return false })
		}
		require.Equal(t, "true", x.outcomes[0])
	}
}
