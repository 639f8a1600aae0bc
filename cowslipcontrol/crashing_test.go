package cowslipcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Pattern: quarantine of a poison request. A caller sends a request that crashes every
// target that runs it, again and again, to any of many instances, which hear of each
// other's crashes only through the store, seconds late. The platform allows three retries
// later than 4 s after the third crash.
func TestPoisonRequestAtManyInstances(t *testing.T) {
	const (
		fingerprint = 7
		storeDelay  = 2 * time.Second
		contact     = 4 * time.Second
		downtime    = 2 * time.Second
		attempts    = 2
		replicas    = 6
		length      = 40 * time.Second
	)
	for _, c := range []struct {
		instances int
		interval  time.Duration // between two sendings
	}{{8, time.Second}, {8, 100 * time.Millisecond}, {100, time.Second}, {100, 100 * time.Millisecond}} {
		t.Run(fmt.Sprint(c.instances, " instances, each ", c.interval), func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, uint64(c.instances)))
			now := t0
			var all []*cowslipcontrol.Control
			var list []cowslipplatform.Instance
			upAt := make([]time.Time, replicas)
			for i := range replicas {
				list = append(list, cowslipplatform.Instance{ID: fmt.Sprint("h", i), Service: "households", Addr: fmt.Sprint("h", i), FailureDomain: "cerro", Version: "v1", Slots: 2, Incarnation: "run0"})
			}
			for i := range c.instances {
				x := cowslipcontrol.New(cowslipcontrol.Options{ID: fmt.Sprint("e", i), FailureDomain: "cerro", ListOnly: true}, now)
				require.True(t, x.Offer(cowslipcontrol.Accepted{Revision: 1, Text: text(time.Time{})}, "test"))
				x.UpdateTargets(now, list)
				all = append(all, x)
			}
			type shared struct {
				at time.Time
				x  cowslipcontrol.SharedCrash
			}
			var store []shared
			sent, late, crashes := 0, 0, 0
			var third time.Time
			var lastSent time.Time
			for end := now.Add(length); now.Before(end); now = now.Add(tick) {
				var visible []cowslipcontrol.SharedCrash
				for _, s := range store {
					if now.Sub(s.at) >= storeDelay {
						visible = append(visible, s.x)
					}
				}
				for _, x := range all {
					x.UpdateSharedCrashes(now, visible)
					x.Tick(now)
				}
				if now.Sub(lastSent) < c.interval {
					continue
				}
				lastSent = now
				sent++
				x := all[r.IntN(len(all))]
				n := attempts
				switch x.View().CrashVerdict(fingerprint) {
				case cowsliproute.Quarantined:
					continue
				case cowsliproute.Suspect:
					n = 1
				}
				for _, i := range r.Perm(replicas) {
					if n == 0 || now.Before(upAt[i]) {
						continue
					}
					n--
					if !third.IsZero() && now.Sub(third) > contact {
						late++
					}
					if crashes++; crashes == 3 {
						third = now
					}
					upAt[i] = now.Add(downtime)
					k := cowslipcontrol.Crash{Fingerprint: fingerprint, Incident: fmt.Sprint("q", sent), Target: x.View().Target(list[i].Addr), Incarnation: fmt.Sprint("run", crashes)}
					x.Crashed(now, k)
					store = append(store, shared{now, k.Shared()})
				}
			}
			t.Logf("%d sendings, %d targets reached, %d of them later than %v after the third", sent, crashes, late, contact)
			require.NotZero(t, crashes)
			require.LessOrEqual(t, late, 3)
		})
	}
}

// A request that a target has answered is no poison, whatever the store still says, but
// later crashes count again.
func TestAnAnswerDismissesSharedCrashes(t *testing.T) {
	now := t0
	x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
	crash := func(n int) cowslipcontrol.SharedCrash {
		return cowslipcontrol.SharedCrash{Fingerprint: 7, Incident: fmt.Sprint("q", n), EndedRun: fmt.Sprint("h", n)}
	}
	verdict := func(l ...cowslipcontrol.SharedCrash) cowsliproute.CrashVerdict {
		now = now.Add(tick)
		x.UpdateSharedCrashes(now, l)
		x.Tick(now)
		return x.View().CrashVerdict(7)
	}
	require.Equal(t, cowsliproute.Suspect, verdict(crash(1)))
	require.Equal(t, cowsliproute.Suspect, verdict(crash(1), crash(1)), "the same crash twice")
	require.Equal(t, cowsliproute.Quarantined, verdict(crash(1), crash(2)))
	x.ClearSuspect(now, 7, "")
	require.Equal(t, cowsliproute.Harmless, verdict(crash(1), crash(2)))
	require.Equal(t, cowsliproute.Suspect, verdict(crash(1), crash(2), crash(3)))
	require.Equal(t, cowsliproute.Quarantined, verdict(crash(3), crash(4)))
	require.Equal(t, cowsliproute.Harmless, verdict(), "the crashes have expired")
}

// Guards against a request that comes with another query string each time, so that no two
// crashes have the same fingerprint: its family is held, but not for repeats of one request
// alone, and not once another of the family was answered.
func TestFamilyOfCrashingRequestsIsHeld(t *testing.T) {
	const family = 99
	type crash struct {
		fingerprint uint64
		run         string
	}
	for _, c := range []struct {
		name     string
		crashes  []crash
		answered bool // another request of the family was answered after the first crash
		want     cowsliproute.CrashVerdict
	}{
		{"one crash", []crash{{1, "a"}}, false, cowsliproute.Suspect},
		{"repeats of one request", []crash{{1, "a"}, {1, "b"}, {1, "c"}}, false, cowsliproute.Suspect},
		{"two requests that hit the same run", []crash{{1, "a"}, {2, "a"}}, false, cowsliproute.Suspect},
		{"two requests", []crash{{1, "a"}, {2, "b"}}, false, cowsliproute.Quarantined},
		{"another one was answered in between", []crash{{1, "a"}, {2, "b"}}, true, cowsliproute.Suspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := t0
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
			var l []cowslipcontrol.SharedCrash
			for i, k := range c.crashes {
				l = append(l, cowslipcontrol.SharedCrash{Fingerprint: k.fingerprint, Family: family, Incident: fmt.Sprint("q", i), EndedRun: k.run})
				now = now.Add(tick)
				x.UpdateSharedCrashes(now, l)
				if c.answered && i == 0 {
					now = now.Add(tick)
					x.ClearSuspect(now, family, "")
				}
				x.Tick(now)
			}
			require.Equal(t, c.want, x.View().CrashVerdict(family))
		})
	}
}

// Guards against a wide request that crashes the targets of one shard and is cleared by the
// answers of the others, and against a hold on one that was in flight while a failure domain
// with targets of many shards was lost.
func TestCrashesCountByService(t *testing.T) {
	crash := func(sending, service string, partial bool) cowslipcontrol.SharedCrash {
		return cowslipcontrol.SharedCrash{Fingerprint: 7, Incident: sending, EndedRun: service + sending, Service: service, Partial: partial}
	}
	partOf := func(s ...string) cowsliproute.Suspicion {
		return cowsliproute.Suspicion{Verdict: cowsliproute.Suspect, Services: s}
	}
	for _, c := range []struct {
		name     string
		crashes  []cowslipcontrol.SharedCrash
		answered string // service that answers afterwards, if not empty
		want     cowsliproute.Suspicion
	}{
		{"one shard, others answered", []cowslipcontrol.SharedCrash{crash("1", "a", true)}, "", partOf("a")},
		{"an answer of another shard clears nothing", []cowslipcontrol.SharedCrash{crash("1", "a", true)}, "b", partOf("a")},
		{"an answer of the shard", []cowslipcontrol.SharedCrash{crash("1", "a", true)}, "a", cowsliproute.Suspicion{}},
		{"two shards", []cowslipcontrol.SharedCrash{crash("1", "a", true), crash("2", "b", true)}, "", partOf("a", "b")},
		{"one shard twice", []cowslipcontrol.SharedCrash{crash("1", "a", true), crash("2", "a", true)}, "", cowsliproute.Suspicion{Verdict: cowsliproute.Quarantined, Services: []string{"a"}}},
		{"nobody answered", []cowslipcontrol.SharedCrash{crash("1", "a", false), crash("2", "b", false)}, "", cowsliproute.Suspicion{Verdict: cowsliproute.Quarantined, Whole: true}},
		{"nobody answered at first", []cowslipcontrol.SharedCrash{crash("1", "a", false), crash("2", "b", false)}, "c", partOf("a", "b")},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := t0
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
			x.UpdateSharedCrashes(now, c.crashes)
			if c.answered != "" {
				now = now.Add(tick)
				x.ClearSuspect(now, 7, c.answered)
			}
			x.Tick(now)
			if c.want.Verdict != cowsliproute.Harmless {
				c.want.Since = t0
			}
			require.Equal(t, c.want, x.View().Suspicion(7))
		})
	}
}

// Guards against a crashing request that comes from another caller each time: all requests with
// its content are held, but not for requests that were in flight together, which end together
// when a failure domain is lost, and not once another one was answered.
func TestContentOfCrashingRequestsIsHeld(t *testing.T) {
	const content = 77
	type crash struct {
		fingerprint uint64
		run         string
		sent, ended time.Duration
	}
	one := crash{1, "a", 0, time.Second}
	for _, c := range []struct {
		name     string
		crashes  []crash
		answered bool // another request with the content was answered after the first crash
		want     cowsliproute.CrashVerdict
	}{
		{"one crash", []crash{one}, false, cowsliproute.Suspect},
		{"one caller after the other", []crash{one, {2, "b", time.Second, 2 * time.Second}}, false, cowsliproute.Quarantined},
		{"the other way round", []crash{{2, "b", time.Second, 2 * time.Second}, one}, false, cowsliproute.Quarantined},
		{"in flight together", []crash{one, {2, "b", 500 * time.Millisecond, time.Second}}, false, cowsliproute.Suspect},
		{"on the same run of a target", []crash{one, {2, "a", time.Second, 2 * time.Second}}, false, cowsliproute.Suspect},
		{"one caller repeats", []crash{one, {1, "b", time.Second, 2 * time.Second}}, false, cowsliproute.Suspect},
		{"answered in between", []crash{one, {2, "b", time.Second, 2 * time.Second}}, true, cowsliproute.Suspect},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := t0
			x := cowslipcontrol.New(cowslipcontrol.Options{ID: "e1", ListOnly: true}, now)
			var l []cowslipcontrol.SharedCrash
			for i, k := range c.crashes {
				l = append(l, cowslipcontrol.SharedCrash{Fingerprint: k.fingerprint, Family: k.fingerprint + 100, Content: content, Incident: fmt.Sprint("q", i), EndedRun: k.run, Sent: t0.Add(k.sent), Ended: t0.Add(k.ended)})
				now = now.Add(tick)
				x.UpdateSharedCrashes(now, l)
				if c.answered && i == 0 {
					now = now.Add(tick)
					x.ClearSuspect(now, content, "")
				}
				x.Tick(now)
			}
			require.Equal(t, c.want, x.View().CrashVerdict(content))
		})
	}
}
