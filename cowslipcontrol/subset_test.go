package cowslipcontrol_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
)

// Scenario: there are more instances than a target accepts connections, and queries fan
// out to every shard. Each instance must keep a connection to every shard, and one to a
// second replica if the connections suffice, without exceeding the connections of any
// target. Every other replica must stay available on a connection of its own, for
// hedges and for when the targets with kept connections fail.
func TestEveryInstanceReachesEveryShard(t *testing.T) {
	const shards, connections = 40, 55
	zones := []string{"a", "b", "c"}
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	text := "[[failureDomains]]\nname='a'\n[[failureDomains]]\nname='b'\n[[failureDomains]]\nname='c'\n"
	var targets []cowslipplatform.Instance
	for s := range shards {
		text += fmt.Sprintf("[[services]]\nname='s%d'\nkind='narrow'\nconnections=%d\n", s, connections)
		for _, z := range zones {
			id := fmt.Sprintf("s%d-%s", s, z)
			targets = append(targets, cowslipplatform.Instance{ID: id, Addr: id, Service: fmt.Sprint("s", s), FailureDomain: z, Version: "v1", Slots: 2, Incarnation: "1"})
		}
	}
	for _, c := range []struct{ instances, replicas, own int }{
		{66, 2, 1}, // a fifth of the connections is reserved for replacements
		{120, 1, 1},
	} {
		t.Run(fmt.Sprint(c.instances, " instances"), func(t *testing.T) {
			asked := map[string]int{}
			for _, e := range newFleet(now, map[string]int{"a": c.instances / 3, "b": c.instances / 3, "c": c.instances / 3}) {
				require.True(t, e.Offer(cowslipcontrol.Accepted{Revision: 1, Text: text}, "test"))
				e.UpdateTargets(now, targets)
				e.Tick(now)
				reached, own := map[string]int{}, map[string]int{}
				for _, x := range targets {
					require.NotZero(t, e.View().Target(x.Addr).Limit())
					if n := e.View().Target(x.Addr).MaxIdleConns(); n > 0 {
						asked[x.ID] += n
						reached[x.Service]++
						if strings.HasPrefix(e.ID(), x.FailureDomain) {
							own[x.Service]++
						}
					}
				}
				for s := range shards {
					n := fmt.Sprint("s", s)
					require.Equal(t, c.replicas, reached[n], "%s of %s", n, e.ID())
					require.Equal(t, c.own, own[n], "%s of %s", n, e.ID())
				}
			}
			for id, n := range asked {
				require.LessOrEqual(t, n, connections, id)
			}
		})
	}
}
