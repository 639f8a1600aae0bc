package cowslipentry_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

const moveDuration = 15 * time.Second

func (c *cluster) moveReport() cowslipcontrol.MoveReport {
	var l []cowslipcontrol.MoveReport
	call(c.nodes[0].operators, "GET", "/v1/moves", nil, &l)
	if len(l) == 0 {
		return cowslipcontrol.MoveReport{}
	}
	return l[0]
}

// startMove starts a move of diaries to v2, whose targets run next to those of v1, and
// returns the targets of v2.
func (c *cluster) startMove(f cowslipstandin.TargetFaults) (v2Targets []*cowslipstandin.Target) {
	c.addTargets(wideTarget(), 8, 2, 1)
	o := wideTarget()
	o.Version = "v2"
	v2Targets = c.addTargets(o, 8, 2, 1)
	c.start(3, wideConfig)
	c.awaitComplete("diaries")
	for _, x := range v2Targets {
		require.Empty(c.t, x.Record().Runs, "no request before the move")
		x.SetFaults(f)
	}
	time.Sleep(cowslipcontrol.JoinGrace)
	by := time.Now().Add(moveDuration).UTC().Truncate(time.Second)
	c.apply(0, "revision = 1\n"+wideConfig+fmt.Sprintf("[[moves]]\nservice = \"diaries\"\nto = \"v2\"\nby = %s\n", by.Format(time.RFC3339)))
	return v2Targets
}

func (c *cluster) countEvents(kind string) int {
	n := 0
	for _, e := range c.timeline(0).Events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

func TestMoveOfAGoodVersion(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	v2Targets := c.startMove(cowslipstandin.TargetFaults{})
	stop := queryContinuously(c, "diaries")
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.timeline(0).Events)
			t.Log(c.moveReport())
		}
	})
	c.eventually("done", func() bool { return c.moveReport().State == "done" })
	require.True(t, time.Now().Before(c.moveReport().By.Add(time.Second)))
	c.eventually("reported", func() bool { return c.countEvents("moveDone") == 1 })
	at := time.Now().Add(maxReactionTime)
	time.Sleep(maxReactionTime + time.Second)
	answers, whole := stop()
	require.Equal(t, answers, whole)
	old := 0
	for _, x := range c.targets[:16] {
		for _, r := range x.Record().Runs {
			if r.At.After(at) {
				old++
			}
		}
	}
	require.Zero(t, old, "requests to the old version after the move")
	require.NotEmpty(t, v2Targets[0].Record().Runs)
}

func TestMoveOfABadVersion(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	v2Targets := c.startMove(cowslipstandin.TargetFaults{FailEvery: 1})
	stop := queryContinuously(c, "diaries")
	c.eventually("taken back", func() bool { return c.moveReport().State == "takenBack" })
	time.Sleep(maxReactionTime)
	answers, whole := stop()
	require.Equal(t, answers, whole, "the old version answered instead")
	require.Equal(t, 1, c.countEvents("moveTakenBack"))
	var first time.Time
	late := 0
	for _, x := range v2Targets {
		for _, r := range x.Record().Runs {
			if first.IsZero() || r.At.Before(first) {
				first = r.At
			}
		}
	}
	for _, x := range v2Targets {
		for _, r := range x.Record().Runs {
			if r.At.After(first.Add(maxReactionTime)) {
				late++
			}
		}
	}
	require.False(t, first.IsZero())
	require.Zero(t, late, "requests to the new version later than 5 s after its first failure")
}
