package cowslipcontrol_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a judge that resumes after a pause and decides a move by what it knew before:
// the others have found a fault of the new version meanwhile.
func TestJudgeDecidesNothingByWhatItKnewBeforeAPause(t *testing.T) {
	x := newJudgeSimulation(t, 3)
	x.run(9*time.Second, func() bool { return false })
	require.Empty(t, x.outcomes)
	paused := x.nodes["e0"]
	delete(x.nodes, "e0")
	x.run(2600*time.Millisecond, func() bool { return true })
	require.Contains(t, x.outcomes, "false", "the others take the move back")
	x.nodes["e0"] = paused
	x.now = x.now.Add(tick)
	_, e := paused.Tick(x.now)
	require.Empty(t, e.Outcomes, "no judge has answered since")
	require.True(t, e.Push, "the others are asked at once")
	x.exchange()
	x.now = x.now.Add(tick)
	_, e = paused.Tick(x.now)
	for _, o := range e.Outcomes {
		require.False(t, o.GetDone())
	}
}

// Guards against a move that never ends because its only judge that is left was paused.
func TestJudgeAloneDecidesAfterAPause(t *testing.T) {
	x := newJudgeSimulation(t, 1)
	x.run(8*time.Second, func() bool { return false })
	x.now = x.now.Add(1500 * time.Millisecond)
	x.run(2*time.Second, func() bool { return false })
	require.Contains(t, x.outcomes, "true")
}
