package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Guards against crashes that no refused connection shows: the target falls silent, or is up
// again before it is asked. Its run has ended, as the platform's list tells.
func TestEndOfARunIsACrash(t *testing.T) {
	entry := func(run string) cowslipplatform.Instance {
		return cowslipplatform.Instance{ID: "h1", Service: "households", Addr: "h1:1", FailureDomain: "cerro", Version: "v1", Slots: 2, Incarnation: run}
	}
	leaving := entry("run1")
	leaving.Leaving = true
	for _, c := range []struct {
		name  string
		list  []cowslipplatform.Instance // after the request
		after time.Duration              // from the request to the list
		want  cowsliproute.CrashVerdict
	}{
		{"it runs on", []cowslipplatform.Instance{entry("run1")}, time.Second, cowsliproute.Harmless},
		{"it runs anew", []cowslipplatform.Instance{entry("run2")}, time.Second, cowsliproute.Suspect},
		{"it is gone", nil, time.Second, cowsliproute.Suspect},
		{"it leaves", []cowslipplatform.Instance{leaving}, time.Second, cowsliproute.Harmless},
		{"it runs anew much later", []cowslipplatform.Instance{entry("run2")}, time.Minute, cowsliproute.Harmless},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := t0
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
			require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: text(time.Time{})}, "test"))
			x.UpdateTargets(now, []cowslipplatform.Instance{entry("run1")})
			x.Tick(now)
			x.Unanswered(now, cowslipcontrol.Crash{Fingerprint: 7, Incident: "q1", Target: x.View().Target("h1:1"), Incarnation: "run1"})
			x.Tick(now)
			require.Equal(t, cowsliproute.Harmless, x.View().CrashVerdict(7))
			now = now.Add(c.after)
			x.Tick(now)
			x.UpdateTargets(now, c.list)
			_, effects := x.Tick(now)
			require.Equal(t, c.want, x.View().CrashVerdict(7))
			require.Len(t, effects.Crashes, int(c.want), "other instances are told")
		})
	}
}
