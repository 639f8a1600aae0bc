package cowslipcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Guards against a hold of ten minutes on a harmless request that many callers send: it
// shared targets with one that crashes them. It is tried again soon, and ever later if
// targets crash under the trials.
func TestAnsweredRequestIsTriedAgain(t *testing.T) {
	const (
		suspect     = cowsliproute.Suspect
		quarantined = cowsliproute.Quarantined
	)
	type crash struct {
		at              time.Duration
		answered, trial bool
	}
	type check struct {
		at    time.Duration
		want  cowsliproute.CrashVerdict
		trial bool
		held  time.Duration // until; 0 if that is not known
	}
	for _, c := range []struct {
		name    string
		crashes []crash
		checks  []check
	}{
		{
			"never answered",
			[]crash{{0, false, false}, {0, false, false}},
			[]check{{time.Second, quarantined, false, 0}, {9 * time.Minute, quarantined, false, 0}},
		},
		{
			"answered before",
			[]crash{{0, true, false}, {0, true, false}},
			[]check{{time.Second, quarantined, false, 5 * time.Second}, {6 * time.Second, suspect, true, 0}},
		},
		{
			"only one instance knows of the answer",
			[]crash{{0, false, false}, {0, true, false}},
			[]check{{6 * time.Second, suspect, true, 0}},
		},
		{
			"crashes told late",
			[]crash{{0, true, false}, {0, true, false}, {4 * time.Second, true, false}, {6 * time.Second, true, false}},
			[]check{{5500 * time.Millisecond, suspect, true, 0}, {7 * time.Second, suspect, true, 0}},
		},
		{
			"crashes under trials",
			[]crash{{0, true, false}, {0, true, false}, {6 * time.Second, false, true}, {20 * time.Second, false, true}},
			[]check{{7 * time.Second, quarantined, false, 16 * time.Second}, {17 * time.Second, suspect, true, 0}, {39 * time.Second, quarantined, false, 40 * time.Second}, {41 * time.Second, suspect, true, 0}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, t0)
			var l []cowslipcontrol.SharedCrash
			check := 0
			for now := t0; check < len(c.checks); now = now.Add(tick) {
				for len(l) < len(c.crashes) && now.Sub(t0) >= c.crashes[len(l)].at {
					k := c.crashes[len(l)]
					l = append(l, cowslipcontrol.SharedCrash{Fingerprint: 7, Incident: fmt.Sprint("q", len(l)), EndedRun: fmt.Sprint("h", len(l)), Service: "s", Answered: k.answered, Trial: k.trial})
				}
				x.UpdateSharedCrashes(now, l)
				x.Tick(now)
				if w := c.checks[check]; now.Sub(t0) >= w.at {
					s := x.View().Suspicion(7)
					require.Equal(t, w.want, s.Verdict, "after %v", w.at)
					require.Equal(t, w.trial, s.Trial, "after %v", w.at)
					require.Equal(t, w.held == 0, s.HeldUntil.IsZero(), "after %v", w.at)
					if w.held > 0 {
						require.WithinDuration(t, t0.Add(w.held), s.HeldUntil, 2*tick, "after %v", w.at)
					}
					check++
				}
			}
		})
	}
}

// An answer that cleared a suspect request speaks for it when more crashes of the same
// service become known, but not an answer of another service: one that crashes the targets
// of one shard is answered by the others.
func TestAnswerOfTheCrashedServiceShortensTheHold(t *testing.T) {
	for _, c := range []struct {
		answered string
		want     cowsliproute.CrashVerdict
	}{{"a", cowsliproute.Suspect}, {"b", cowsliproute.Quarantined}} {
		t.Run(c.answered, func(t *testing.T) {
			now := t0
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
			x.ClearSuspect(now, 7, c.answered)
			now = now.Add(tick)
			x.UpdateSharedCrashes(now, []cowslipcontrol.SharedCrash{
				{Fingerprint: 7, Incident: "q1", EndedRun: "h1", Service: "a", Partial: true},
				{Fingerprint: 7, Incident: "q2", EndedRun: "h2", Service: "a", Partial: true},
			})
			x.Tick(now)
			require.Equal(t, cowsliproute.Quarantined, x.View().CrashVerdict(7))
			x.Tick(now.Add(6 * time.Second))
			require.Equal(t, c.want, x.View().CrashVerdict(7))
		})
	}
}
