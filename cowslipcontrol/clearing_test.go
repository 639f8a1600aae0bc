package cowslipcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// A clearing of another instance dismisses the crashes known so far, own and shared ones, but
// not crashes of other services, those that become known with it, or any if it was in the store
// before the instance started.
func TestClearingsOfOtherInstances(t *testing.T) {
	const fingerprint = 7
	shared := func(incident, service string) cowslipcontrol.SharedCrash {
		return cowslipcontrol.SharedCrash{Fingerprint: fingerprint, Incident: incident, EndedRun: "i/" + incident, Service: service, Version: "v1"}
	}
	clearing := func(service string, revision uint64) []cowslipcontrol.SharedClearing {
		return []cowslipcontrol.SharedClearing{{Fingerprint: fingerprint, Service: service, Revision: cowslipplatform.NewRevision(0, revision)}}
	}
	for _, c := range []struct {
		name          string
		known, coming []cowslipcontrol.SharedCrash // before the clearing, and with it
		before, after []cowslipcontrol.SharedClearing
		want          cowsliproute.CrashVerdict
	}{
		{"cleared", nil, nil, nil, clearing("households", 5), cowsliproute.Harmless},
		{"shared ones too", []cowslipcontrol.SharedCrash{shared("a", "households")}, nil, nil, clearing("households", 5), cowsliproute.Harmless},
		{"cleared again", nil, nil, clearing("households", 5), clearing("households", 6), cowsliproute.Harmless},
		{"not new", nil, nil, clearing("households", 5), clearing("households", 5), cowsliproute.Quarantined},
		{"of another service", nil, nil, nil, clearing("diaries", 5), cowsliproute.Quarantined},
		{"with new crashes", nil, []cowslipcontrol.SharedCrash{shared("a", "households"), shared("b", "households")}, nil, clearing("households", 5), cowsliproute.Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, "e1", "cerro")
			b.c.Stored(b.now, accepted(t, 1, text(time.Time{})))
			b.addTarget("h1", "households", "cerro", "v1")
			b.addTarget("h2", "households", "cerro", "v1")
			b.tick()
			b.c.UpdateClearings(b.now, c.before)
			for i, id := range []string{"h1", "h2"} {
				b.c.Crashed(b.now, cowslipcontrol.Crash{Fingerprint: fingerprint, Incident: id, Target: b.target(id), Incarnation: "run"})
				b.now = b.now.Add(time.Duration(i+1) * time.Second)
			}
			b.c.UpdateSharedCrashes(b.now, c.known)
			b.tick()
			require.Equal(t, cowsliproute.Quarantined, b.view.CrashVerdict(fingerprint))
			b.now = b.now.Add(time.Second)
			b.c.UpdateClearings(b.now, c.after)
			b.c.UpdateSharedCrashes(b.now, append(c.known, c.coming...))
			b.tick()
			require.Equal(t, c.want, b.view.CrashVerdict(fingerprint))
		})
	}
}

// Guards against an instance that starts after others have cleared a request, while the crashes
// are still to be removed from the store: those that the store accepted before the clearing
// count no more, and later ones do.
func TestClearingsBeforeTheStart(t *testing.T) {
	const fingerprint, family, content = 7, 8, 9
	crash := func(n int, revision uint64) cowslipcontrol.SharedCrash {
		return cowslipcontrol.SharedCrash{Fingerprint: fingerprint, Family: family, Content: content, Incident: fmt.Sprint("q", n), EndedRun: fmt.Sprint("h", n), Service: "households", Revision: cowslipplatform.NewRevision(0, revision)}
	}
	for _, c := range []struct {
		name    string
		clears  uint64 // fingerprint
		service string
		crashes []cowslipcontrol.SharedCrash
		want    cowsliproute.CrashVerdict
	}{
		{"older crashes", fingerprint, "households", []cowslipcontrol.SharedCrash{crash(1, 3), crash(2, 4)}, cowsliproute.Harmless},
		{"one older", fingerprint, "households", []cowslipcontrol.SharedCrash{crash(1, 3), crash(2, 6)}, cowsliproute.Suspect},
		{"newer crashes", fingerprint, "households", []cowslipcontrol.SharedCrash{crash(1, 6), crash(2, 7)}, cowsliproute.Quarantined},
		{"of another request of the family", 17, "households", []cowslipcontrol.SharedCrash{crash(1, 3), crash(2, 4)}, cowsliproute.Quarantined},
		{"of another service", fingerprint, "diaries", []cowslipcontrol.SharedCrash{crash(1, 3), crash(2, 4)}, cowsliproute.Quarantined},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, t0)
			x.UpdateClearings(t0, []cowslipcontrol.SharedClearing{{Fingerprint: c.clears, Family: family, Content: content, Service: c.service, Revision: cowslipplatform.NewRevision(0, 5)}})
			x.UpdateSharedCrashes(t0, c.crashes)
			x.Tick(t0)
			require.Equal(t, c.want, x.View().CrashVerdict(fingerprint))
		})
	}
}
