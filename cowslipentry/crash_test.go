package cowslipentry_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

const narrowConfig = `
[[services]]
name = "households"
kind = "narrow"
version = "v1"
slots = 4
connections = 100
warmTime = "1ms"
deadline = "2s"
`

func narrowTarget() cowslipstandin.TargetOptions {
	return cowslipstandin.TargetOptions{Service: "households", Version: "v1", Slots: 4, Queue: 16}
}

func (c *cluster) crashes() int {
	n := 0
	for _, x := range c.targets {
		n += x.Record().Crashes
	}
	return n
}

func (c *cluster) sendPoisonQuery(node int, service string) int {
	return call(c.nodes[node].callers, "POST", "/v1/query", cowslipentry.QueryRequest{Service: service, Query: "poison pill", DeadlineMillis: 500}, nil)
}

// A request that crashes every target that executes it is quarantined by all
// instances after its second sending. The first sending may crash one target per
// shard, the second crashes a single target. Other requests are still served.
func TestCrashingRequestIsHeld(t *testing.T) {
	for _, x := range []struct {
		service string
		first   int // maximum number of targets that the first sending may crash
	}{{"diaries", 8}, {"households", 1}} {
		t.Run(x.service, func(t *testing.T) {
			c := newCluster(t)
			c.addTargets(wideTarget(), 8, 2, 1)
			c.addTargets(narrowTarget(), 1, 4, 1)
			c.start(3, wideConfig+narrowConfig)
			c.awaitComplete("diaries")
			c.awaitComplete("households")
			for _, t := range c.targets {
				t.SetFaults(cowslipstandin.TargetFaults{CrashOn: "poison"})
			}
			c.sendPoisonQuery(0, x.service)
			first := c.crashes()
			require.LessOrEqual(t, first, x.first)
			require.NotZero(t, first)
			time.Sleep(500 * time.Millisecond)
			c.eventually("the caller sends it again until it runs", func() bool {
				c.sendPoisonQuery(1, x.service)
				return c.crashes() > first
			})
			require.Equal(t, first+1, c.crashes(), "the second sending crashes one target")
			time.Sleep(500 * time.Millisecond)
			before := c.crashes()
			for i := range 9 {
				require.Equal(t, 422, c.sendPoisonQuery(i%3, x.service))
			}
			require.Equal(t, before, c.crashes())
			require.Equal(t, first+1, before)
			c.awaitComplete(x.service)
		})
	}
}

// A frequent request is not quarantined when targets that execute it stop for another
// reason.
func TestDyingTargetsQuarantineNothing(t *testing.T) {
	c := newCluster(t)
	c.addTargets(wideTarget(), 8, 2, 1)
	c.start(3, wideConfig)
	c.awaitComplete("diaries")
	stop := queryContinuously(c, "diaries")
	for range 3 {
		c.restartDomain("plan")
		time.Sleep(200 * time.Millisecond)
	}
	stop()
	for i := range c.nodes {
		_, s := c.query(i, "diaries", time.Second)
		require.NotEqual(t, 422, s)
	}
}
