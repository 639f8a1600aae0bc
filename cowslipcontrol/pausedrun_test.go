package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
)

// Guards against requests in a pause that a target has asked for, because the list told of
// its new run after the answer: answers do not name the run.
func TestPauseOutlivesTheRun(t *testing.T) {
	entry := func(run string) cowslipplatform.Instance {
		return cowslipplatform.Instance{ID: "h1", Service: "households", Addr: "h1:1", FailureDomain: "cerro", Version: "v1", Slots: 2, Incarnation: run}
	}
	now := time.Now() // as pauses are kept in monotonic time
	x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
	require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: text(time.Time{})}, "test"))
	list := func(run string) {
		x.UpdateTargets(now, []cowslipplatform.Instance{entry(run)})
		x.Tick(now)
	}
	list("run1")
	x.View().Target("h1:1").Pause(now.Add(2 * time.Second))
	now = now.Add(time.Second)
	list("run2")
	require.Equal(t, time.Second, x.View().Target("h1:1").SendDelay(now))
}
