package cowslipentry_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

const moveTime = 15 * time.Second

func (c *cluster) move() cowslipcontrol.MoveReport {
	var l []cowslipcontrol.MoveReport
	call(c.nodes[0].operators, "GET", "/v1/moves", nil, &l)
	if len(l) == 0 {
		return cowslipcontrol.MoveReport{}
	}
	return l[0]
}

// startMove starts a move of diaries to v2, whose targets stand beside.
func (c *cluster) startMove(f cowslipstandin.TargetFaults) (fresh []*cowslipstandin.Target) {
	c.addTargets(wideTarget(), 8, 2, 1)
	o := wideTarget()
	o.Version = "v2"
	fresh = c.addTargets(o, 8, 2, 1)
	c.start(3, wideText)
	c.awaitComplete("diaries")
	for _, x := range fresh {
		require.Empty(c.t, x.Record().Runs, "no request before the move")
		x.SetFaults(f)
	}
	time.Sleep(cowslipcontrol.JoinGrace)
	by := time.Now().Add(moveTime).UTC().Truncate(time.Second)
	c.apply(0, "revision = 1\n"+wideText+fmt.Sprintf("[[moves]]\nservice = \"diaries\"\nto = \"v2\"\nby = %s\n", by.Format(time.RFC3339)))
	return fresh
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
	fresh := c.startMove(cowslipstandin.TargetFaults{})
	stop := ask(c, "diaries")
	c.eventually("done", func() bool { return c.move().State == "done" })
	require.True(t, time.Now().Before(c.move().By.Add(time.Second)))
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
	require.NotEmpty(t, fresh[0].Record().Runs)
}

func TestMoveOfABadVersion(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	fresh := c.startMove(cowslipstandin.TargetFaults{FailEvery: 1})
	stop := ask(c, "diaries")
	c.eventually("taken back", func() bool { return c.move().State == "takenBack" })
	time.Sleep(maxReactionTime)
	answers, whole := stop()
	require.Equal(t, answers, whole, "the old version answered instead")
	require.Equal(t, 1, c.countEvents("moveTakenBack"))
	var first time.Time
	late := 0
	for _, x := range fresh {
		for _, r := range x.Record().Runs {
			if first.IsZero() || r.At.Before(first) {
				first = r.At
			}
		}
	}
	for _, x := range fresh {
		for _, r := range x.Record().Runs {
			if r.At.After(first.Add(maxReactionTime)) {
				late++
			}
		}
	}
	require.False(t, first.IsZero())
	require.Zero(t, late, "requests 5 s after the first failure")
}
