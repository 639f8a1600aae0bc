package cowslipcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Scenario: all instances send as many requests as they can to a shard whose only
// replica is cold and handles few requests per second. In any second it must receive
// at most 1.5 times its cold rate plus five requests over all instances. The bound
// ends once the target is warm.
func TestColdTargetIsPacedOverAllInstances(t *testing.T) {
	for _, x := range []struct {
		instances int
		rate      float64
	}{{8, 6}, {8, 1}, {60, 4}, {60, 40}, {1, 10}} {
		t.Run(fmt.Sprint(x), func(t *testing.T) {
			now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
			var l []cowslipcontrol.Member
			for i := range x.instances {
				l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("e", i), FailureDomain: "cerro", Addr: fmt.Sprint("e", i)})
			}
			text := strings.Replace(sixShardConfig, `name = "s0"`, fmt.Sprintf("name = \"s0\"\ncoldRate = %.1f", x.rate), 1)
			var nodes []*cowslipcontrol.Control
			for _, m := range l {
				c := cowslipcontrol.New(cowslipcontrol.Options{ID: m.ID, FailureDomain: "cerro", ListOnly: true}, now)
				c.UpdateMembers(now, l)
				require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 1, Text: text}, "test"))
				c.UpdateTargets(now, []cowslipplatform.Instance{{ID: "cold", Addr: "cold", Service: "s0", FailureDomain: "cerro", Version: "v1", Slots: 2, Incarnation: "1", ColdFor: 3 * time.Second}})
				nodes = append(nodes, c)
			}
			r := rand.New(rand.NewPCG(1, 2))
			bound := 1.5*x.rate + 5
			var sent []time.Time
			saturate := func(d time.Duration) (n int) {
				for end := now.Add(d); now.Before(end); now = now.Add(10 * time.Millisecond) {
					for _, c := range nodes {
						c.Tick(now)
						h := c.View().Target("cold")
						if got := c.View().Pick([]*cowsliproute.Target{h}, cowsliproute.PickOptions{Now: now}, r); got != nil {
							got.Release()
							sent = append(sent, now)
							n++
						}
					}
				}
				return n
			}
			require.NotZero(t, saturate(2900*time.Millisecond))
			for i, a := range sent {
				n := 0
				for _, b := range sent[i:] {
					if b.Sub(a) < time.Second {
						n++
					}
				}
				require.LessOrEqual(t, float64(n), bound)
			}
			saturate(200 * time.Millisecond)
			require.Greater(t, saturate(time.Second), 99*x.instances, "the target is warm")
		})
	}
}
