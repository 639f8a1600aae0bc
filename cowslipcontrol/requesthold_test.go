package cowslipcontrol_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

const (
	heldFingerprint = 7
	heldContent     = 70
	heldCrashLease  = 10 * time.Minute // after which the store no longer shows a crash
)

// holdFleet is a fleet of instances that hear of crashes and holds through a store, and get the
// same request again and again.
type holdFleet struct {
	now       time.Time
	instances []*cowslipcontrol.Control
	crashes   []cowslipcontrol.SharedCrash
	hold      *cowslipcontrol.SharedHold
	revision  uint64
	away      bool // the store does not answer
	answered  bool // the request was answered shortly before its crashes
	sent      int  // how often the request was sent to a target
	era       uint64
	copied    *cowslipcontrol.SharedHold // the hold in the copy from which the store comes back
}

func newHoldFleet(n int) *holdFleet {
	w := &holdFleet{now: t0}
	for i := range n {
		w.instances = append(w.instances, nil)
		w.restart(i)
	}
	return w
}

// restart replaces an instance by one that knows only what the store shows.
func (w *holdFleet) restart(i int) {
	w.instances[i] = cowslipcontrol.New(cowslipcontrol.Options{ID: fmt.Sprint("e", i), ListOnly: true}, w.now)
	w.update(w.instances[i])
	w.instances[i].Tick(w.now)
}

func (w *holdFleet) update(x *cowslipcontrol.Control) {
	if w.away {
		return
	}
	x.UpdateSharedCrashes(w.now, w.crashes)
	var l []cowslipcontrol.SharedHold
	if w.hold != nil {
		l = append(l, *w.hold)
	}
	x.UpdateHolds(w.now, l)
}

// write writes a hold to the store if it has not changed since.
func (w *holdFleet) write(x *cowslipcontrol.Control, s cowslipcontrol.SharedHold) bool {
	known := cowslipplatform.Revision{}
	if w.hold != nil {
		known = w.hold.Revision
	}
	if w.away || s.Revision != known {
		return false
	}
	w.revision++
	s.Revision = cowslipplatform.NewRevision(w.era, w.revision)
	w.hold = &s
	x.HoldWritten(w.now, s)
	return true
}

// drill brings the store back from its copy, without crashes, and makes another copy.
func (w *holdFleet) drill() {
	w.era++
	w.crashes = nil
	if w.hold, w.copied = w.copied, w.hold; w.hold != nil {
		h := *w.hold
		h.Revision = cowslipplatform.NewRevision(w.era, h.Revision.Number())
		w.hold = &h
	}
	for _, x := range w.instances {
		x.EraBegan(w.now, cowslipplatform.NewRevision(w.era, w.revision), w.now)
	}
}

// step moves the time on, and has each instance get the request once.
func (w *holdFleet) step(d time.Duration) {
	w.now = w.now.Add(d)
	w.crashes = slices.DeleteFunc(w.crashes, func(k cowslipcontrol.SharedCrash) bool { return w.now.Sub(k.Ended) > heldCrashLease })
	for _, x := range w.instances {
		w.update(x)
		_, effects := x.Tick(w.now)
		for _, s := range effects.Holds {
			w.write(x, s)
		}
		s := x.View().Suspicion(heldFingerprint).Merge(x.View().Suspicion(heldContent))
		if s.Verdict == cowsliproute.Quarantined {
			continue
		}
		if s.Trial {
			h, due := x.BeginTrial(w.now, heldContent, heldFingerprint)
			if !due || !w.write(x, h) {
				continue
			}
		}
		w.sent++
		k := cowslipcontrol.Crash{
			Fingerprint: heldFingerprint, Content: heldContent, Incident: fmt.Sprint("q", w.sent), Incarnation: fmt.Sprint("run", w.sent),
			Target:   cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: "h1", Service: "households"}),
			Answered: w.answered, Trial: s.Trial, Sent: w.now, Ended: w.now,
		}
		x.Crashed(w.now, k)
		w.crashes = append(w.crashes, k.Shared())
	}
}

// Guards against holds that are shortened, forgotten or split, each of which costs the fleet
// more sendings of a request that crashes targets: it makes few trials in a whole day.
func TestCrashingRequestInAWholeDay(t *testing.T) {
	const (
		instances = 7
		interval  = 2 * time.Second  // between sendings to each instance
		dense     = 30 * time.Minute // then they are rarer
		later     = 20 * time.Second
		first     = 10 * time.Second // the request may be sent freely until then
		allowed   = 3
	)
	for _, c := range []struct {
		name     string
		answered bool
		disturb  func(w *holdFleet, at time.Duration)
	}{
		{"never answered", false, nil},
		{"answered before", true, nil},
		{"the crashes are lost each minute", true, func(w *holdFleet, at time.Duration) {
			if at%time.Minute == 0 {
				w.crashes = nil
			}
		}},
		{"an instance starts anew each minute", true, func(w *holdFleet, at time.Duration) {
			if at%time.Minute == 0 {
				w.restart(int(at/time.Minute) % instances)
			}
		}},
		{"all start anew each hour and the crashes are gone", false, func(w *holdFleet, at time.Duration) {
			if at%time.Hour == 0 {
				w.crashes = nil
				for i := range w.instances {
					w.restart(i)
				}
			}
		}},
		{"the store comes back from an older copy each ten minutes", false, func(w *holdFleet, at time.Duration) {
			if at%(10*time.Minute) == 0 {
				w.drill()
			}
		}},
		{"the store comes back from an older copy each minute", true, func(w *holdFleet, at time.Duration) {
			if at%time.Minute == 0 {
				w.drill()
			}
		}},
		{"the store is away each other minute", true, func(w *holdFleet, at time.Duration) {
			w.away = at/time.Minute%2 == 1
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			w := newHoldFleet(instances)
			w.answered = c.answered
			free := 0
			step := interval
			for at := time.Duration(0); at < 24*time.Hour; at += step {
				if at == dense {
					step = later
				}
				if c.disturb != nil && at > 0 {
					c.disturb(w, at)
				}
				if at == first {
					free = w.sent
				}
				w.step(step)
			}
			t.Logf("%d sendings, %d of them later than %v", w.sent, w.sent-free, first)
			require.GreaterOrEqual(t, free, 2)
			require.LessOrEqual(t, w.sent-free, allowed)
		})
	}
}

// Guards against a hold that goes on although a trial was answered: it ends at the instance at
// once, and at the others once the store shows no hold. A trial under which no target crashed
// leaves the next one to any instance.
func TestAnsweredTrialLiftsTheHold(t *testing.T) {
	w := newHoldFleet(2)
	w.answered = true
	for range 2 {
		w.step(tick)
	}
	require.NotNil(t, w.hold)
	for range 6 {
		w.now = w.now.Add(time.Second)
		for _, x := range w.instances {
			w.update(x)
			x.Tick(w.now)
		}
	}
	x, other := w.instances[0], w.instances[1]
	require.True(t, x.View().Suspicion(heldFingerprint).Trial)
	h, due := x.BeginTrial(w.now, heldContent, heldFingerprint)
	require.True(t, due)
	require.True(t, w.write(x, h))
	_, due = x.BeginTrial(w.now, heldContent, heldFingerprint)
	require.False(t, due, "one at a time")
	_, due = other.BeginTrial(w.now, heldContent, heldFingerprint)
	require.True(t, due, "it has not heard of the trial")
	w.update(other)
	other.Tick(w.now)
	require.Equal(t, cowsliproute.Quarantined, other.View().CrashVerdict(heldFingerprint))

	subjects := []uint64{heldFingerprint, heldContent}
	_, lifted := x.LiftHold(heldContent, subjects, map[string]bool{"diaries": true}, []string{"diaries", "households"})
	require.False(t, lifted, "the service whose targets crashed has not answered")
	x.ClearSuspect(w.now, heldFingerprint, "households")
	x.ClearSuspect(w.now, heldContent, "households")
	left, lifted := x.LiftHold(heldContent, subjects, map[string]bool{"households": true}, []string{"households"})
	require.True(t, lifted)
	require.Empty(t, left.Subjects)
	require.Equal(t, w.hold.Revision, left.Revision)
	w.update(x)
	x.Tick(w.now)
	require.Equal(t, cowsliproute.Harmless, x.View().CrashVerdict(heldFingerprint), "although the store still shows the hold")
	w.hold, w.crashes = nil, nil
	w.update(other)
	other.ClearSuspect(w.now, heldFingerprint, "households")
	other.ClearSuspect(w.now, heldContent, "households")
	other.Tick(w.now)
	require.Equal(t, cowsliproute.Harmless, other.View().CrashVerdict(heldFingerprint))
}

// Guards against an answer to another request with the same content that ends the hold of the one
// that crashes targets, or lets its trials begin anew.
func TestAnswerLiftsOnlyWhatItSpeaksFor(t *testing.T) {
	const copies = 700
	x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, t0)
	h := cowslipcontrol.SharedHold{Content: heldContent, Subjects: []uint64{copies, heldContent}, Services: []string{"households"}, Trials: 1, At: t0, Revision: cowslipplatform.NewRevision(0, 5)}
	verdicts := func() []cowsliproute.CrashVerdict {
		x.UpdateHolds(t0, []cowslipcontrol.SharedHold{h})
		x.Tick(t0)
		return []cowsliproute.CrashVerdict{x.View().CrashVerdict(copies), x.View().CrashVerdict(heldContent)}
	}
	require.Equal(t, []cowsliproute.CrashVerdict{cowsliproute.Quarantined, cowsliproute.Quarantined}, verdicts())
	answered := map[string]bool{"households": true}
	left, lifted := x.LiftHold(heldContent, []uint64{1, 2, 3, heldContent}, answered, []string{"households"})
	require.True(t, lifted)
	require.Equal(t, []uint64{copies}, left.Subjects)
	require.Equal(t, 1, left.Trials)
	require.Equal(t, []cowsliproute.CrashVerdict{cowsliproute.Quarantined, cowsliproute.Harmless}, verdicts(), "although the store still shows all of it")
	_, lifted = x.LiftHold(heldContent, []uint64{1, 2, 3, heldContent}, answered, []string{"households"})
	require.False(t, lifted)
	left, lifted = x.LiftHold(heldContent, []uint64{1, 2, copies, heldContent}, answered, []string{"households"})
	require.True(t, lifted)
	require.Empty(t, left.Subjects)
	require.Equal(t, []cowsliproute.CrashVerdict{cowsliproute.Harmless, cowsliproute.Harmless}, verdicts())
	h.Revision = cowslipplatform.NewRevision(0, 6)
	require.Equal(t, []cowsliproute.CrashVerdict{cowsliproute.Quarantined, cowsliproute.Quarantined}, verdicts(), "it is held again")
}

// Guards against trials of a harmless request that use up those of the day, as a target was
// merely late or unreachable: only a crash counts. Answers of some services count for these.
func TestTrialsWithoutACrashDoNotCount(t *testing.T) {
	subjects := []uint64{heldFingerprint, heldContent}
	for _, c := range []struct {
		name    string
		crashed bool // a target under the trial
		later   bool // another trial has begun since
		want    bool
	}{{"lost", false, false, true}, {"crashed", true, false, false}, {"another trial since", false, true, false}} {
		t.Run(c.name, func(t *testing.T) {
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, t0)
			h := cowslipcontrol.SharedHold{Content: heldContent, Subjects: subjects, Services: []string{"a", "b"}, Trials: 1, At: t0, Revision: cowslipplatform.NewRevision(0, 5)}
			x.UpdateHolds(t0, []cowslipcontrol.SharedHold{h})
			if c.crashed {
				x.Crashed(t0, cowslipcontrol.Crash{Fingerprint: heldFingerprint, Content: heldContent, Incident: "q1", Target: cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: "h1", Service: "a"})})
			}
			if c.later {
				h.Trials, h.Revision = 2, cowslipplatform.NewRevision(0, 6)
				x.UpdateHolds(t0, []cowslipcontrol.SharedHold{h})
				h.Trials = 1
			}
			s, ok := x.EndTrial(h, "q1")
			require.Equal(t, c.want, ok)
			if ok {
				require.Zero(t, s.Trials)
				require.Equal(t, h.Revision, s.Revision)
			}
		})
	}
	x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, t0)
	x.UpdateHolds(t0, []cowslipcontrol.SharedHold{{Content: heldContent, Subjects: subjects, Services: []string{"a", "b"}, At: t0, Revision: cowslipplatform.NewRevision(0, 5)}})
	asked := []string{"a", "b", "c"}
	left, changed := x.LiftHold(heldContent, subjects, map[string]bool{"a": true, "c": true}, asked)
	require.True(t, changed)
	require.Equal(t, []string{"b"}, left.Services)
	require.Equal(t, subjects, left.Subjects)
	left, changed = x.LiftHold(heldContent, subjects, map[string]bool{"b": true}, asked)
	require.True(t, changed)
	require.Empty(t, left.Subjects)
}

// Guards against a hold of ten minutes on a harmless request because the instance that wrote the
// hold had not answered it before: one that had tries it soon.
func TestHoldOfAnAnsweredRequestIsShortWhoeverWroteIt(t *testing.T) {
	for _, answered := range []bool{true, false} {
		t.Run(fmt.Sprint("answered ", answered), func(t *testing.T) {
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true, AnsweredSince: func(_, _ time.Time, fingerprint uint64) bool {
				return answered && fingerprint == heldContent
			}}, t0)
			h := cowslipcontrol.SharedHold{Content: heldContent, Subjects: []uint64{heldFingerprint}, Services: []string{"a"}, At: t0, Revision: cowslipplatform.NewRevision(0, 5)}
			for now := t0; now.Sub(t0) <= 6*time.Second; now = now.Add(time.Second) {
				x.UpdateHolds(now, []cowslipcontrol.SharedHold{h})
				x.Tick(now)
				require.Equal(t, answered && now.Sub(t0) >= 5*time.Second, x.View().Suspicion(heldFingerprint).Trial, "after %v", now.Sub(t0))
			}
		})
	}
}
