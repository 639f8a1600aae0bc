package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// TestQuarantine checks which crashes quarantine a request: only two with neither
// the same request nor the same run of a target. A peer must reach the same
// verdict from the exchanged crashes.
func TestQuarantine(t *testing.T) {
	type crash struct{ incident, target, run string }
	for _, c := range []struct {
		name    string
		crashes []crash
		want    cowsliproute.CrashVerdict
	}{
		{"none", nil, cowsliproute.Harmless},
		{"one crash", []crash{{"q1", "d0", "run1"}}, cowsliproute.Suspect},
		{"one wide request, many deaths", []crash{{"q1", "d0", "run1"}, {"q1", "d1", "run1"}}, cowsliproute.Suspect},
		{"one death under many requests", []crash{{"q1", "d0", "run1"}, {"q2", "d0", "run1"}, {"q3", "d0", "run1"}}, cowsliproute.Suspect},
		{"sent again, another target", []crash{{"q1", "d0", "run1"}, {"q2", "d1", "run1"}}, cowsliproute.Quarantined},
		{"sent again, the same target's next run", []crash{{"q1", "d0", "run1"}, {"q2", "d0", "run2"}}, cowsliproute.Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, other := newWarmBench(t), newWarmBench(t)
			b.addTarget("d1", "diaries", "plan", "v1")
			for _, x := range c.crashes {
				b.c.Crashed(b.now, cowslipcontrol.Crash{Fingerprint: 7, Incident: x.incident, Target: b.target(x.target), Incarnation: x.run})
			}
			b.tick()
			require.Equal(t, c.want, b.view.CrashVerdict(7))
			s := b.c.State(b.now, "e2")
			s.Id = "e9"
			other.c.Message(other.now, time.Time{}, s)
			other.tick()
			require.Equal(t, c.want, other.view.CrashVerdict(7), "also on the other instance")
			b.advance(b.now.Add(11 * time.Minute))
			require.Equal(t, cowsliproute.Harmless, b.view.CrashVerdict(7), "the quarantine is over")
		})
	}
}

// TestAnAnswerClearsASuspect checks that a crash does not count after a
// successful answer to the request, even if a peer sends the crash again.
func TestAnAnswerClearsASuspect(t *testing.T) {
	b := newWarmBench(t)
	crash := func(incident, run string) {
		b.c.Crashed(b.now, cowslipcontrol.Crash{Fingerprint: 7, Incident: incident, Target: b.target("d0"), Incarnation: run})
	}
	crash("q1", "run1")
	s := b.c.State(b.now, "e2")
	s.Id = "e9"
	b.advance(b.now.Add(time.Second))
	b.c.ClearSuspect(b.now, 7, "diaries")
	b.tick()
	require.Equal(t, cowsliproute.Harmless, b.view.CrashVerdict(7))
	b.c.Message(b.now, time.Time{}, s)
	b.advance(b.now.Add(time.Second))
	crash("q2", "run2")
	b.tick()
	require.Equal(t, cowsliproute.Suspect, b.view.CrashVerdict(7), "the earlier crash no longer counts")
}
