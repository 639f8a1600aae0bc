package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Scenario: a process is frozen while operators take a failure domain out. When it
// confirms the newer configuration after it has woken, no request may be sent on the
// strength of that confirmation before the limits of the new configuration apply. A
// request that arrived before still has the view with the old one.
func TestConfirmationAfterPauseAppliesLimitsFirst(t *testing.T) {
	b := &bench{t: t, now: t0}
	var old *cowsliproute.View
	var events []string
	b.c = cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", FailureDomain: "cerro", Event: func(kind, _, _ string) {
		if old == nil {
			return
		}
		events = append(events, kind)
		if old.Scope(b.now) == cowsliproute.ScopeAll {
			require.Zero(t, b.target("h0").Limit(), "at event %s", kind)
		}
	}}, b.now)
	b.c.Stored(b.now, accepted(t, 1, text(time.Time{})))
	b.tick()
	b.addTarget("h0", "households", "puerto", "v1")
	b.report("h0", "run1")
	for b.now.Before(t0.Add(12 * time.Second)) {
		b.now = b.now.Add(tick)
		b.c.Stored(b.now, accepted(t, 1, text(time.Time{})))
		b.tick()
	}
	require.NotZero(t, b.target("h0").Limit())
	old = b.view
	b.now = b.now.Add(5 * time.Second)
	require.Equal(t, cowsliproute.ScopeNone, old.Scope(b.now))
	b.tick()
	require.Equal(t, cowsliproute.ScopeNone, old.Scope(b.now))
	b.now = b.now.Add(tick)
	b.c.Stored(b.now, accepted(t, 2, text(time.Time{}, "puerto")))
	b.tick()
	require.Contains(t, events, "confirmed")
	require.Equal(t, cowsliproute.ScopeAll, old.Scope(b.now))
	require.Zero(t, b.target("h0").Limit())
}
