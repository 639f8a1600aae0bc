package cowslipcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// Pattern: a rate limit shared without coordination. All instances send as many requests as
// they can to a target that states a limit, while instances leave and new ones start. In any
// 4 s, the target may get one and a half times its limit and 5 requests, and its limit should
// be used. Once it states no limit, all of its load returns.
func TestRequestLimitIsSharedByInstances(t *testing.T) {
	for _, x := range []struct {
		instances int
		limit     float64
	}{{1, 20}, {7, 20}, {7, 1.5}, {7, 0.4}, {60, 4}, {60, 40}, {195, 20}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			t.Parallel()
			const (
				span     = 4 * time.Second
				interval = 50 * time.Millisecond
			)
			now := t0
			r := rand.New(rand.NewPCG(1, 2))
			var nodes []*cowslipcontrol.Control
			add := func(id string) {
				c := cowslipcontrol.New(cowslipcontrol.Options{ID: id, FailureDomain: "cerro", ListOnly: true}, now)
				require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
				c.UpdateTargets(now, []cowslipplatform.Instance{{ID: "full", Addr: "full", Service: "s0", FailureDomain: "cerro", Version: "v1", Slots: 6, Incarnation: "1"}})
				nodes = append(nodes, c)
			}
			join := func() {
				var l []cowslipcontrol.Member
				for _, c := range nodes {
					l = append(l, cowslipcontrol.Member{ID: c.ID(), FailureDomain: "cerro", Addr: c.ID()})
				}
				for _, c := range nodes {
					c.UpdateMembers(now, l)
				}
			}
			for i := range x.instances {
				add(fmt.Sprint("e", i))
			}
			join()
			limit := x.limit
			told := map[*cowslipcontrol.Control]time.Time{}
			var sent []time.Time // by instances that were told half a second before
			step := interval
			saturate := func(d time.Duration) {
				for end := now.Add(d); now.Before(end); now = now.Add(step) {
					for _, c := range nodes {
						c.Tick(now)
						h := c.View().Target("full")
						got := c.View().Pick([]*cowsliproute.Target{h}, cowsliproute.PickOptions{Now: now}, r)
						if got == nil {
							continue
						}
						got.Release()
						if at, ok := told[c]; !ok || now.Sub(at) >= 500*time.Millisecond {
							sent = append(sent, now)
						}
						if _, ok := told[c]; !ok {
							told[c] = now
						}
						c.Observe(cowslipcontrol.Sample{Target: h, Latency: 5 * time.Millisecond, At: now.Add(5 * time.Millisecond), Report: cowsliptarget.Report{RequestLimit: limit}})
					}
				}
			}
			saturate(span)
			sent = nil
			began := now
			saturate(3 * span)
			if x.instances > 1 {
				delete(told, nodes[0])
				nodes = nodes[1:]
				join()
				saturate(span)
				add("new")
				join()
				saturate(2 * span)
			}
			saturate(span)
			for i, a := range sent {
				n := 0
				for _, b := range sent[i:] {
					if b.Sub(a) <= span {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), 1.5*x.limit*span.Seconds()+5)
			}
			rate := float64(len(sent)) / now.Sub(began).Seconds()
			t.Logf("%.1f requests a second", rate)
			require.Greater(t, rate, 0.8*x.limit)
			limit, step = 0, time.Second
			saturate(2 * time.Minute)
			sent, step = nil, interval
			saturate(time.Second)
			require.Greater(t, len(sent), 9*len(nodes)*int(time.Second/interval)/10, "no limit is stated any more")
		})
	}
}

// Guards against a limit that an old answer ends: the target states it again in the next
// one, and each time all instances begin anew.
func TestOldAnswerDoesNotEndARequestLimit(t *testing.T) {
	now := t0
	c := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", FailureDomain: "cerro", ListOnly: true}, now)
	require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
	c.UpdateTargets(now, []cowslipplatform.Instance{{ID: "full", Addr: "full", Service: "s0", FailureDomain: "cerro", Version: "v1", Slots: 6, Incarnation: "1"}})
	c.Tick(now)
	h := c.View().Target("full")
	answered := func(latency time.Duration, o cowsliptarget.Outcome, limit float64) int {
		now = now.Add(10 * time.Millisecond)
		c.Observe(cowslipcontrol.Sample{Target: h, Outcome: o, Latency: latency, At: now, Report: cowsliptarget.Report{RequestLimit: limit}})
		c.Tick(now)
		return c.Counts().Targets["limited"]
	}
	require.Equal(t, 1, answered(time.Millisecond, cowsliptarget.Shed, 2))
	require.Equal(t, 1, answered(time.Second, cowsliptarget.OK, 0), "sent before the limit was stated")
	require.Equal(t, 1, answered(time.Millisecond, cowsliptarget.Lost, 0), "no answer")
	require.Equal(t, 1, answered(time.Millisecond, cowsliptarget.Leaving, 0), "the answer of another target")
	require.Equal(t, 0, answered(time.Millisecond, cowsliptarget.OK, 0))
}

// Guards against callers that are refused although targets have room: all targets of a
// service state limits, there are more instances than these allow to send, and some instance
// may send to none.
func TestEveryInstanceHasAPartOfSomeLimit(t *testing.T) {
	const instances, replicas, limit = 195, 5, 20
	now := t0
	var members []cowslipcontrol.Member
	for i := range instances {
		members = append(members, cowslipcontrol.Member{ID: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%5), Addr: fmt.Sprint("e", i)})
	}
	var list []cowslipplatform.Instance
	text := "[[services]]\nname='s'\nkind='narrow'\nconnections=1200\n"
	for i := range replicas {
		text = fmt.Sprintf("[[failureDomains]]\nname='d%d'\n", i) + text
		list = append(list, cowslipplatform.Instance{ID: fmt.Sprint("t", i), Addr: fmt.Sprint("t", i), Service: "s", FailureDomain: fmt.Sprint("d", i), Version: "v1", Slots: 6, Incarnation: "1"})
	}
	text += "version='v1'\n"
	senders := make([]int, replicas)
	for _, m := range members {
		c := cowslipcontrol.New(cowslipcontrol.Options{ID: m.ID, FailureDomain: m.FailureDomain, ListOnly: true}, now)
		c.UpdateMembers(now, members)
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 1, Text: text}, "test"))
		c.UpdateTargets(now, list)
		c.Tick(now)
		for _, x := range list {
			c.Observe(cowslipcontrol.Sample{Target: c.View().Target(x.Addr), At: now, Report: cowsliptarget.Report{RequestLimit: limit}})
		}
		c.Tick(now)
		parts := 0
		for i, x := range list {
			if c.View().Target(x.Addr).Available() {
				parts++
				senders[i]++
			}
		}
		require.NotZero(t, parts, m.ID)
	}
	for _, n := range senders {
		require.LessOrEqual(t, n, 2*limit)
	}
}

// Guards against a stated limit that does not fit an integer: it must not keep instances from
// sending.
func TestHugeRequestLimitLimitsNothing(t *testing.T) {
	for _, limit := range []float64{1e19, 1e300} {
		now := t0
		c := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", FailureDomain: "cerro", ListOnly: true}, now)
		var members []cowslipcontrol.Member
		for i := range 20 {
			members = append(members, cowslipcontrol.Member{ID: fmt.Sprint("e", i), FailureDomain: "cerro", Addr: fmt.Sprint("e", i)})
		}
		c.UpdateMembers(now, members)
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 1, Text: sixShardConfig}, "test"))
		c.UpdateTargets(now, []cowslipplatform.Instance{{ID: "full", Addr: "full", Service: "s0", FailureDomain: "cerro", Version: "v1", Slots: 6, Incarnation: "1"}})
		c.Tick(now)
		h := c.View().Target("full")
		c.Observe(cowslipcontrol.Sample{Target: h, At: now, Report: cowsliptarget.Report{RequestLimit: limit}})
		for range 100 {
			now = now.Add(time.Millisecond)
			c.Tick(now)
			require.True(t, h.Available())
			require.Zero(t, h.SendDelay(now))
		}
	}
}
