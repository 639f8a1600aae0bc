package cowslipadmission_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipadmission"

	"github.com/stretchr/testify/require"
)

// Bounds that the requirements set, in docs/HARD-LOAD.md.
const (
	leastInTime   = 0.9  // of the rate at a demand that targets can take
	maxShed       = 0.02 // of all parts
	leastUrgent   = 0.95 // of the most urgent requests
	leastOfServed = 0.3  // of the share served of all requests, for each class and workspace
)

// calmInTime returns the rate of answers in time at a demand that targets can take, without
// admission.
func calmInTime(seed uint64) float64 {
	return newModel(seed, false, &stream{rate: modelCapacity}).run(24*time.Second).inTimeRate(3, 23)
}

// Without admission, a demand above what targets take leaves a fraction of the answers. With
// it, the rate must stay, and targets must shed few parts, from the third second on.
func TestOverloadKeepsAnswersInTime(t *testing.T) {
	for seed := range uint64(2) {
		best := calmInTime(seed)
		for _, factor := range []float64{1, 2, 4, 9} {
			without := newModel(seed, false, &stream{rate: factor * modelCapacity}).run(6 * time.Second)
			m := newModel(seed, true, &stream{rate: factor * modelCapacity}).run(24 * time.Second)
			t.Logf("seed %d, demand %v: in time %.0f/s of %.0f (%.0f without admission), shed %.3f (%.3f)", seed, factor, m.inTimeRate(3, 23), best, without.inTimeRate(3, 5), m.shedShare(3, 23), without.shedShare(3, 5))
			require.GreaterOrEqual(t, m.inTimeRate(3, 23), leastInTime*best)
			require.Less(t, m.shedShare(3, 23), maxShed)
			if factor >= 2 {
				require.Less(t, without.inTimeRate(3, 5), 0.5*best, "the model does not collapse without admission")
			}
		}
	}
}

// A more urgent class must be served before a less urgent one, and the least urgent one must
// not starve.
func TestPrioritiesHold(t *testing.T) {
	for seed := range uint64(3) {
		l := []*stream{{rate: 0.3 * modelCapacity}, {priority: 1, rate: 0.7 * modelCapacity}, {priority: 4, rate: 2 * modelCapacity}}
		m := newModel(seed, true, l...).run(24 * time.Second)
		served := m.inTimeRate(3, 23) / (3 * modelCapacity)
		t.Logf("seed %d: served %.3f, %.3f, %.3f of %.3f; shed %.3f", seed, l[0].sum(3, 23).served(), l[1].sum(3, 23).served(), l[2].sum(3, 23).served(), served, m.shedShare(3, 23))
		require.GreaterOrEqual(t, l[0].sum(3, 23).served(), leastUrgent)
		require.Greater(t, l[0].sum(3, 23).served(), l[1].sum(3, 23).served())
		require.Greater(t, l[1].sum(3, 23).served(), l[2].sum(3, 23).served())
		require.GreaterOrEqual(t, l[2].sum(3, 23).served(), leastOfServed*served)
		require.GreaterOrEqual(t, m.inTimeRate(3, 23), leastInTime*calmInTime(seed))
		require.Less(t, m.shedShare(3, 23), maxShed)
	}
}

// Workspaces of one priority share by weight what targets take: one that asks for much must
// not take the shares of others, and what one does not use is free for the others.
func TestWorkspacesShareByWeight(t *testing.T) {
	for seed := range uint64(3) {
		greedy := &stream{workspace: "greedy", rate: 3 * modelCapacity}
		small := &stream{workspace: "small", rate: 0.1 * modelCapacity}
		heavy := &stream{workspace: "heavy", weight: 2, rate: 0.9 * modelCapacity}
		light := &stream{workspace: "light", rate: 0.9 * modelCapacity}
		m := newModel(seed, true, greedy, small, heavy, light).run(24 * time.Second)
		rate := func(s *stream) float64 { return float64(s.sum(3, 23).inTime) / 20 }
		unit := (m.inTimeRate(3, 23) - rate(small)) / 4
		t.Logf("seed %d: greedy %.0f/s, heavy %.0f, light %.0f, small %.0f of %.0f; shed %.3f", seed, rate(greedy), rate(heavy), rate(light), rate(small), small.rate, m.shedShare(3, 23))
		require.InEpsilon(t, unit, rate(greedy), 0.2)
		require.InEpsilon(t, 2*unit, rate(heavy), 0.2)
		require.InEpsilon(t, unit, rate(light), 0.2)
		require.GreaterOrEqual(t, small.sum(3, 23).served(), 0.85)
		require.Less(t, m.shedShare(3, 23), maxShed)
	}
}

// A step of the demand must settle within 3 s, up and down, and the rate must not swing
// afterwards.
func TestStepSettles(t *testing.T) {
	for seed := range uint64(3) {
		base := &stream{rate: 0.7 * modelCapacity}
		step := &stream{rate: 5 * modelCapacity, starts: 6 * time.Second, stops: 16 * time.Second}
		m := newModel(seed, true, base, step).run(26 * time.Second)
		best := calmInTime(seed)
		for s := 9; s < 15; s++ {
			require.GreaterOrEqual(t, m.inTimeRate(s, s+2), 0.85*best, "seed %d, second %d", seed, s)
		}
		require.Less(t, m.shedShare(9, 16), maxShed)
		t.Logf("seed %d: served %.3f from 3 s after the step on", seed, base.sum(19, 25).served())
		require.GreaterOrEqual(t, base.sum(19, 25).served(), 0.97, "seed %d: refusals after the step", seed)
		require.Zero(t, base.sum(21, 25).refused, "seed %d: refusals after the step", seed)
	}
}

// Without overload nothing must be refused, also in bursts.
func TestCalmRefusesNothing(t *testing.T) {
	for seed := range uint64(3) {
		l := []*stream{{rate: 0.4 * modelCapacity}, {priority: 3, workspace: "a", rate: 0.2 * modelCapacity}}
		for i := range 6 {
			at := time.Duration(2+3*i) * time.Second
			l = append(l, &stream{rate: 0.4 * modelCapacity, starts: at, stops: at + 150*time.Millisecond})
		}
		m := newModel(seed, true, l...).run(20 * time.Second)
		t.Logf("seed %d: shed %.4f", seed, m.shedShare(0, 20))
		for _, s := range m.streams {
			c := s.sum(0, 20)
			require.Equal(t, c.sent, c.admitted+c.refused)
			require.Zero(t, c.refused)
		}
	}
}

// Targets that are slow for a time must not count as an overload while others have room.
func TestSlowTargetsAreNoOverload(t *testing.T) {
	for seed := range uint64(3) {
		s := &stream{rate: 0.5 * modelCapacity}
		m := newModel(seed, true, s)
		m.slowFor, m.slowFactor = 600*time.Millisecond, 2.5
		m.run(20 * time.Second)
		c := s.sum(0, 20)
		t.Logf("seed %d: %+v, shed %.4f", seed, c, m.shedShare(0, 20))
		require.LessOrEqual(t, c.refused, c.sent/1000)
	}
}

// Instances that go and come back must not change the sum of what is admitted: the demand
// moves among the instances, and the shares must follow.
func TestSharesFollowTheDemand(t *testing.T) {
	for seed := range uint64(3) {
		var m *model
		s := &stream{rate: 4 * modelCapacity}
		s.among = func() int {
			if second := m.second(); second >= 7 && second < 14 {
				return m.random.IntN(modelInstances / 4)
			}
			return m.random.IntN(modelInstances)
		}
		m = newModel(seed, true, s)
		m.run(22 * time.Second)
		shed := 0.0
		for _, from := range []int{3, 10, 17} {
			shed += m.shedShare(from, from+4) / 3
			t.Logf("seed %d, from second %d: in time %.0f/s, shed %.3f", seed, from, m.inTimeRate(from, from+4), m.shedShare(from, from+4))
			require.GreaterOrEqual(t, m.inTimeRate(from, from+4), leastInTime*calmInTime(seed))
		}
		require.Less(t, shed, maxShed)
	}
}

// Targets that report no queue whatever they do must not hide an overload: sheds and late
// answers count by themselves.
func TestFalseReportsDoNotHideOverload(t *testing.T) {
	for seed := range uint64(3) {
		m := newModel(seed, true, &stream{rate: 4 * modelCapacity})
		m.noReports = true
		m.run(24 * time.Second)
		t.Logf("seed %d: in time %.0f/s, shed %.3f", seed, m.inTimeRate(3, 23), m.shedShare(3, 23))
		require.GreaterOrEqual(t, m.inTimeRate(3, 23), 0.8*calmInTime(seed))
	}
}

// A request that cannot be answered in the time left must be refused before it is sent, but
// only while the pool is limited.
func TestDeadlineIsChecked(t *testing.T) {
	var p cowslipadmission.Pool
	now := modelStart
	r := cowslipadmission.Request{Left: 10 * time.Millisecond, Expected: 20 * time.Millisecond}
	require.True(t, p.Admit(now, r).Admitted)
	for range 20 {
		now = now.Add(50 * time.Millisecond)
		p.Admit(now, cowslipadmission.Request{})
		p.Ended(now, cowslipadmission.Result{Parts: 10, Shed: 9})
	}
	require.True(t, p.Limited())
	d := p.Admit(now, r)
	require.Equal(t, cowslipadmission.ReasonDeadline, d.Reason)
	require.GreaterOrEqual(t, d.RetryAfter, 50*time.Millisecond)
	require.LessOrEqual(t, d.RetryAfter, 3*time.Second)
	// After a pause of the process the evidence is too old.
	now = now.Add(5 * time.Second)
	p.Admit(now, cowslipadmission.Request{})
	require.False(t, p.Limited())
}

// Guards against an explanation that changes what later requests get, and against one that
// does not show that a class is cut.
func TestAdmittedTellsTheShare(t *testing.T) {
	p := &cowslipadmission.Pool{Rand: func() float64 { return 0 }}
	r := cowslipadmission.Request{Priority: 2}
	require.Equal(t, 1.0, p.Admitted(r))
	now := time.Unix(1_800_000_000, 0)
	for range 200 {
		now = now.Add(20 * time.Millisecond)
		if p.Admit(now, r).Admitted {
			p.Ended(now, cowslipadmission.Result{Priority: 2, Parts: 10, Shed: 8})
		}
	}
	s := p.Status(now)
	require.True(t, s.Limited)
	share := p.Admitted(r)
	require.Less(t, share, 1.0)
	require.Equal(t, share, p.Admitted(r))
	require.Equal(t, s, p.Status(now))
}
