package cowslipcontrol_test

import (
	"strings"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
)

// Guards against a version that gets requests again after its move was taken back: with the next
// order it counted as one of the versions to move from, and without an order all versions serve.
func TestVersionThatWasTakenBackGetsNoRequests(t *testing.T) {
	inUse := func(c *cowslipcontrol.Control, now time.Time) string {
		c.Tick(now)
		var l []string
		for _, s := range c.View().Service("s").Snapshots() {
			for _, r := range s.Shards[0].Replicas {
				l = append(l, r.Info().Version)
			}
		}
		return strings.Join(l, " ")
	}
	targets := func(c *cowslipcontrol.Control, now time.Time, versions ...string) {
		var l []cowslipplatform.Instance
		for _, v := range versions {
			l = append(l, cowslipplatform.Instance{ID: v, Addr: v, Service: "s", FailureDomain: "cerro", Version: v, Slots: 9, Incarnation: "1"})
		}
		c.UpdateTargets(now, l)
	}
	none := judgedConfig[:strings.Index(judgedConfig, "[[moves]]")]
	next := strings.NewReplacer(`to = "v2"`, `to = "v3"`, "order = 5", "order = 6").Replace(judgedConfig)
	again := strings.Replace(judgedConfig, "order = 5", "order = 7", 1)
	for _, learned := range []string{"stop", "outcome", "store"} {
		t.Run(learned, func(t *testing.T) {
			now := t0
			c := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", FailureDomain: "cerro", ListOnly: true}, now)
			c.Tick(now)
			revision := uint64(0)
			offer := func(text string) {
				revision++
				require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: revision, Text: text}, "test"))
			}
			offer(judgedConfig)
			targets(c, now, "v1", "v2", "v3")
			require.Contains(t, inUse(c, now), "v2")
			w := cowslipcontrol.Withdrawal{Service: "s", Version: "v2", Move: judgedMove}
			switch learned {
			case "stop":
				c.Message(now, now, &cowslipmessage.State{Id: "e2", Stops: []*cowslipmessage.Stop{{Move: judgedMove, By: "e2"}}})
			case "outcome":
				c.Outcome(&cowslipmessage.Outcome{Move: judgedMove})
			case "store":
				offer(next) // the process starts after the next order
				c.UpdateWithdrawals(now, []cowslipcontrol.Withdrawal{w})
			}
			for _, text := range []string{next, none, next} {
				offer(text)
				require.NotContains(t, inUse(c, now), "v2")
			}
			if learned != "store" {
				var e cowslipcontrol.Effects
				for len(e.Withdrawals) == 0 {
					now = now.Add(tick)
					_, e = c.Tick(now)
				}
				require.Equal(t, w, e.Withdrawals[0], "others are told through the store")
			}
			offer(again)
			require.Contains(t, inUse(c, now), "v2", "it is ordered again")
			c.Outcome(&cowslipmessage.Outcome{Move: "s/v2/7"})
			require.NotContains(t, inUse(c, now), "v2")
			targets(c, now, "v1")
			now = now.Add(2 * time.Minute)
			inUse(c, now)
			offer(none)
			targets(c, now, "v1", "v2")
			require.Contains(t, inUse(c, now), "v2", "none of its targets lived on")
		})
	}
}
