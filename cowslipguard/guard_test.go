package cowslipguard_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipguard"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The fixed seed makes the property test draw the same cases in every run.
func init() { flag.Set("rapid.seed", "1") }

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func shardNames(n int) []string {
	var l []string
	for i := range n {
		l = append(l, fmt.Sprint("shard", i))
	}
	return l
}

// Guards against an alert that lasts too long or too short: it must end AlertTime after the
// target broke off, whenever the loss became known, and only the last loss counts.
func TestAlert(t *testing.T) {
	for _, c := range []struct {
		name   string
		losses []time.Duration // since t0
		ages   []time.Duration
		until  time.Duration
	}{
		{"none", nil, nil, 0},
		{"one", []time.Duration{0}, []time.Duration{0}, time.Minute},
		{"told late", []time.Duration{10 * time.Second}, []time.Duration{10 * time.Second}, time.Minute},
		{"told too late", []time.Duration{time.Minute}, []time.Duration{time.Minute}, 0},
		{"by a clock that is ahead", []time.Duration{0}, []time.Duration{-time.Hour}, time.Minute},
		{"an older one is told after a newer one", []time.Duration{0, time.Second}, []time.Duration{0, 30 * time.Second}, time.Minute},
		{"two", []time.Duration{0, 30 * time.Second}, []time.Duration{0, 0}, 90 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g cowslipguard.Guard
			for i, at := range c.losses {
				g.Loss(t0.Add(at), cowslipguard.Loss{Age: c.ages[i], Request: 1})
			}
			if c.until > 0 {
				require.True(t, g.Alert(t0.Add(c.until-time.Nanosecond)))
			}
			require.False(t, g.Alert(t0.Add(c.until)))
			require.Equal(t, cowslipguard.Plan{}, g.Plan(t0.Add(c.until), 1, shardNames(20), 0.89))
		})
	}
}

// Guards against crashes in ever other shards: every instance must choose the same few probe
// shards, in whatever order it knows the shards, for any content.
func TestProbeShardsAreTheSameEverywhere(t *testing.T) {
	for _, c := range []struct {
		shards      int
		minCoverage float64
		probes      int
	}{{20, 0.89, 2}, {20, 0.9, 2}, {20, 1, 1}, {135, 0.95, 6}, {1, 1, 1}, {2, 0.75, 1}, {3, 0, 3}, {0, 0.9, 0}} {
		t.Run(fmt.Sprint(c.shards, " ", c.minCoverage), func(t *testing.T) {
			chosen, first := map[string]bool{}, map[string]bool{}
			for content := range uint64(100) {
				l := shardNames(c.shards)
				rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
				var g cowslipguard.Guard
				g.Loss(t0.Add(time.Duration(rand.IntN(1000))*time.Millisecond), cowslipguard.Loss{Request: rand.Uint64()})
				p := g.Plan(t0.Add(time.Second), content, l, c.minCoverage)
				require.True(t, p.Alert)
				require.Len(t, p.Probes, c.probes)
				for _, i := range p.Probes {
					chosen[l[i]] = true
				}
				if c.probes > 0 {
					first[l[p.Probes[0]]] = true
				}
			}
			require.Len(t, chosen, c.probes)
			require.Len(t, first, c.probes, "contents are spread over the probe shards")
		})
	}
}

// Guards against a request that is sent whole although nothing speaks for it, and against probes
// for one that all shards have answered.
func TestPlan(t *testing.T) {
	const content = 7
	at := func(s float64) time.Time { return t0.Add(time.Duration(s * float64(time.Second))) }
	for _, c := range []struct {
		name   string
		course func(g *cowslipguard.Guard)
		now    time.Time
		probes int
		wait   time.Duration
	}{
		{"unknown", func(*cowslipguard.Guard) {}, at(1), 2, 0},
		{"answered", func(g *cowslipguard.Guard) { g.Answered(at(1), content) }, at(2), 0, 0},
		{"another one answered", func(g *cowslipguard.Guard) { g.Answered(at(1), content+1) }, at(2), 2, 0},
		{"sent before the alert", func(g *cowslipguard.Guard) { g.Answered(at(-1), content) }, at(2), 2, 0},
		{"lost", func(g *cowslipguard.Guard) { g.Loss(at(1), cowslipguard.Loss{Request: content}) }, at(1.25), 2, 750 * time.Millisecond},
		{"lost, excused", func(g *cowslipguard.Guard) {
			g.Answered(at(1), content)
			g.Loss(at(1), cowslipguard.Loss{Request: content, Excused: true})
		}, at(1.25), 2, 0},
		{"lost a while ago", func(g *cowslipguard.Guard) { g.Loss(at(1), cowslipguard.Loss{Request: content}) }, at(2), 2, 0},
		{"answered, then lost", func(g *cowslipguard.Guard) {
			g.Answered(at(1), content)
			g.Loss(at(2), cowslipguard.Loss{Request: content})
		}, at(3), 2, 0},
		{"lost, then an answer sent before", func(g *cowslipguard.Guard) {
			g.Loss(at(2), cowslipguard.Loss{Request: content})
			g.Answered(at(1), content)
		}, at(3), 2, 0},
		{"lost, then answered", func(g *cowslipguard.Guard) {
			g.Loss(at(1), cowslipguard.Loss{Request: content})
			g.Answered(at(2), content)
		}, at(2.1), 0, 0},
		{"answered in the alert before", func(g *cowslipguard.Guard) {
			g.Answered(at(1), content)
			g.Loss(at(61), cowslipguard.Loss{Request: 1})
		}, at(62), 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g cowslipguard.Guard
			g.Loss(t0, cowslipguard.Loss{Request: 1})
			c.course(&g)
			p := g.Plan(c.now, content, shardNames(20), 0.89)
			require.Len(t, p.Probes, c.probes)
			require.Equal(t, c.wait, p.Wait)
		})
	}
}

// Guards against memory that grows with the contents, which callers choose, and against a guard
// that forgets the contents answered last.
func TestMemoryOfAGuardIsBounded(t *testing.T) {
	var g cowslipguard.Guard
	g.Loss(t0, cowslipguard.Loss{})
	for n := range uint64(10 * cowslipguard.MaxContents) {
		g.Answered(t0.Add(time.Second), n+1)
	}
	known := 0
	for n := range uint64(10 * cowslipguard.MaxContents) {
		if len(g.Plan(t0.Add(time.Second), n+1, shardNames(2), 1).Probes) == 0 {
			known++
			require.Greater(t, n, uint64(9*cowslipguard.MaxContents)-1)
		}
	}
	require.LessOrEqual(t, known, cowslipguard.MaxContents)
	require.GreaterOrEqual(t, known, cowslipguard.MaxContents/2)
}

// Whatever the course, a plan sends a request whole only while the guard is calm or the content
// was answered after its last loss.
func TestAnyCourseIsGuarded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g cowslipguard.Guard
		now := t0
		var lastLoss, since time.Time
		lost, answered := map[uint64]time.Time{}, map[uint64]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 40_000).Draw(t, "millis")) * time.Millisecond)
			content := rapid.Uint64Range(1, 3).Draw(t, "content")
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				if lastLoss.IsZero() || now.Sub(lastLoss) >= cowslipguard.AlertTime {
					since, lost, answered = now, map[uint64]time.Time{}, map[uint64]time.Time{}
				}
				lastLoss, lost[content] = now, now
				delete(answered, content)
				g.Loss(now, cowslipguard.Loss{Request: content})
			case 1:
				sent := now.Add(-time.Duration(rapid.IntRange(0, 2000).Draw(t, "took")) * time.Millisecond)
				if !since.IsZero() && !sent.Before(since) && !sent.Before(lost[content]) && sent.Sub(lastLoss) < cowslipguard.AlertTime {
					answered[content] = sent
				}
				g.Answered(sent, content)
			}
			p := g.Plan(now, content, shardNames(20), 0.89)
			alert := !lastLoss.IsZero() && now.Sub(lastLoss) < cowslipguard.AlertTime
			require.Equal(t, alert, p.Alert)
			_, known := answered[content]
			require.Equal(t, alert && !known, len(p.Probes) > 0)
			require.LessOrEqual(t, p.Wait, cowslipguard.ResendWait)
		}
	})
}

// Guards against routes that share targets but not what is known of crashes.
func TestSetsThatShareServicesHaveOneGuard(t *testing.T) {
	var g cowslipguard.Guards
	g.Of("a", "b").Loss(t0, cowslipguard.Loss{Request: 1})
	require.False(t, g.Of("c", "d").Alert(t0))
	require.Same(t, g.Of("b"), g.Of("a"))
	require.True(t, g.Of("b", "c").Alert(t0))
	require.True(t, g.Of("d").Alert(t0), "the sets have met")
	require.False(t, g.Of("e").Alert(t0))
	g.Retain(func(s string) bool { return s == "e" })
	require.False(t, g.Of("a").Alert(t0))
}

// Guards against an explanation that tells another plan than the one that is followed, or that
// makes a guard.
func TestPlanOfGuardsIsThatOfTheGuard(t *testing.T) {
	var g cowslipguard.Guards
	l := shardNames(20)
	require.Equal(t, cowslipguard.Plan{}, g.Plan(t0, 1, l, 0.89))
	g.Of(l[1]).Loss(t0, cowslipguard.Loss{Request: 2})
	g.Of(l[3:5]...).Loss(t0.Add(time.Second), cowslipguard.Loss{Request: 1})
	for i, x := range []time.Duration{0, 1500 * time.Millisecond, time.Minute, 2 * time.Minute} {
		p := g.Plan(t0.Add(x), 1, l, 0.89)
		require.Equal(t, i < 3, p.Alert)
		require.NotSame(t, g.Of(l[1]), g.Of(l[3]), "asking merges no guards")
		var h cowslipguard.Guards
		h.Of(l[1]).Loss(t0, cowslipguard.Loss{Request: 2})
		h.Of(l[3:5]...).Loss(t0.Add(time.Second), cowslipguard.Loss{Request: 1})
		require.Equal(t, h.Of(l...).Plan(t0.Add(x), 1, l, 0.89), p)
	}
}

// Guards against a suspicion that counts like a crash, and against a crash that is forgotten as
// a suspicion came first or later.
func TestSuspectedLoss(t *testing.T) {
	var g cowslipguard.Guard
	g.Loss(t0, cowslipguard.Loss{Request: 1, Suspected: true})
	require.True(t, g.Alert(t0))
	require.False(t, g.Certain(t0))
	require.False(t, g.Alert(t0.Add(cowslipguard.SuspectedAlertTime)))
	g.Loss(t0.Add(100*time.Millisecond), cowslipguard.Loss{Request: 1})
	g.Loss(t0.Add(200*time.Millisecond), cowslipguard.Loss{Request: 1, Suspected: true})
	require.True(t, g.Certain(t0.Add(time.Minute)))
	require.True(t, g.Alert(t0.Add(time.Minute)))
	require.False(t, g.Alert(t0.Add(time.Minute+200*time.Millisecond)))
}
