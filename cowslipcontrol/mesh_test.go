package cowslipcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// mesh simulates several entry instances that share targets and a virtual clock, with
// exchanges that may fail.
type mesh struct {
	t           *rapid.T
	nodes       []*bench
	alive       []bool
	ids         []string
	targets     []string
	runs        map[string]int
	restartedAt map[string]time.Time // when the current incarnation of a target started
	learnsAt    map[string]time.Time // by node and target: when the node next probes the target
	now         time.Time
}

func newMesh(t *rapid.T, nodes int) *mesh {
	m := &mesh{t: t, now: t0, runs: map[string]int{}, restartedAt: map[string]time.Time{}, learnsAt: map[string]time.Time{}}
	for i, s := range []string{"d0", "d1", "h0", "h1"} {
		m.targets = append(m.targets, s)
		m.runs[s] = 1
		m.restartedAt[s] = t0.Add(-time.Hour)
		_ = i
	}
	for range nodes {
		m.join()
	}
	return m
}

func (m *mesh) join() {
	id := fmt.Sprint("e", len(m.nodes)+1)
	b := newBench(m.t, id, domains[len(m.nodes)%3])
	b.now = m.now
	b.c = cowslipcontrol.New(cowslipcontrol.Options{ID: id, FailureDomain: domains[len(m.nodes)%3], Addr: "addr-" + id}, m.now)
	b.tick()
	for i, x := range m.targets {
		s := "diaries"
		if x[0] == 'h' {
			s = "households"
		}
		b.addTarget(x, s, domains[i%3], "v1")
	}
	var l []cowslipcontrol.Member
	for i, n := range m.ids {
		if m.alive[i] {
			l = append(l, cowslipcontrol.Member{ID: n, FailureDomain: domains[i%3], Addr: "addr-" + n})
		}
	}
	b.c.UpdateMembers(m.now, l)
	b.c.Stored(m.now, accepted(m.t, 1, text(time.Time{})))
	m.nodes = append(m.nodes, b)
	m.alive = append(m.alive, true)
	m.ids = append(m.ids, id)
	for _, x := range m.targets {
		m.learnsAt[id+x] = m.now.Add(m.delay("first probe"))
	}
}

func (m *mesh) delay(what string) time.Duration {
	return time.Duration(rapid.IntRange(1, 12).Draw(m.t, what)) * tick
}

// restartTarget restarts a target. Its connections to all instances end at once, and
// each instance learns of the new incarnation with its next probe.
func (m *mesh) restartTarget(x string) {
	m.runs[x]++
	m.restartedAt[x] = m.now
	for i, b := range m.nodes {
		if t := b.target(x); t != nil && m.alive[i] {
			t.Suspend()
		}
		m.learnsAt[m.ids[i]+x] = m.now.Add(m.delay("probe"))
	}
}

// step advances the mesh by one tick.
func (m *mesh) step() {
	m.now = m.now.Add(tick)
	for i, b := range m.nodes {
		if !m.alive[i] {
			continue
		}
		b.now = m.now
		b.c.Stored(m.now, accepted(m.t, 1, text(time.Time{})))
		for _, x := range m.targets {
			if l := m.learnsAt[m.ids[i]+x]; !l.After(m.now) {
				m.learnsAt[m.ids[i]+x] = m.now.Add(10 * tick)
				b.report(x, fmt.Sprint(x, "-run", m.runs[x]), func(r *cowsliptarget.Report) { r.Cold = m.cold(x) })
			}
		}
		b.tick()
	}
	if m.now.Sub(t0)%(5*tick) == 0 {
		m.exchange()
	}
	m.check()
}

// exchange makes each instance exchange state with every other one. Some exchanges
// fail.
func (m *mesh) exchange() {
	for i, a := range m.nodes {
		for j, b := range m.nodes {
			if i == j || !m.alive[i] {
				continue
			}
			if !m.alive[j] {
				a.c.PeerFailed(m.now, m.ids[j], true)
				continue
			}
			if rapid.IntRange(0, 9).Draw(m.t, "lost") == 0 {
				a.c.PeerFailed(m.now, m.ids[j], false)
				continue
			}
			b.c.Message(m.now, time.Time{}, a.c.State(m.now, m.ids[j]))
			a.c.Message(m.now, m.now, b.c.State(m.now, m.ids[i]))
		}
	}
	for i, b := range m.nodes {
		if m.alive[i] {
			b.tick()
		}
	}
}

func (m *mesh) cold(x string) bool { return m.now.Sub(m.restartedAt[x]) < 10*time.Second }

// check verifies that the limits of all instances for a cold target add up to no more
// than its cold slots.
func (m *mesh) check() {
	for _, x := range m.targets {
		if !m.cold(x) {
			continue
		}
		sum := 0
		for i, b := range m.nodes {
			t := b.target(x)
			if m.alive[i] && t != nil && t.Suspension() == 0 && !t.Leaving() {
				sum += t.Limit()
			}
		}
		slots := 1
		if x[0] == 'h' {
			slots = 3
		}
		if sum > slots {
			m.t.Fatalf("%v: cold target %s has %d slots, but instances may send %d requests", m.now.Sub(t0), x, slots, sum)
		}
	}
}

// The limits of all instances together must never exceed the cold slots of a cold
// target while targets restart and instances join, leave and crash.
func TestColdTargetsOverAllInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMesh(t, rapid.IntRange(1, 8).Draw(t, "instances"))
		for range 120 {
			switch rapid.IntRange(0, 30).Draw(t, "what") {
			case 0:
				m.restartTarget(rapid.SampledFrom(m.targets).Draw(t, "target"))
			case 1:
				for _, x := range m.targets {
					m.restartTarget(x)
				}
			case 2:
				if len(m.nodes) < 10 {
					m.join()
				}
			case 3:
				m.alive[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "dies")] = false
			case 4:
				i := rapid.IntRange(0, len(m.nodes)-1).Draw(t, "leaves")
				m.nodes[i].c.Leave()
			}
			m.step()
		}
	})
}

// The limits of all instances together must never exceed the connections of a warm
// target.
func TestConnectionsOverAllInstances(t *testing.T) {
	for n := 1; n <= 40; n++ {
		sum := 0
		var l []cowslipcontrol.Member
		for i := range n {
			l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("e", i), Addr: "x"})
		}
		for i := range n {
			b := newBench(t, fmt.Sprint("e", i), "cerro")
			b.c.UpdateMembers(b.now, l)
			b.c.Stored(b.now, accepted(t, 1, text(time.Time{})))
			b.addTarget("d0", "diaries", "cerro", "v1")
			b.report("d0", "run1")
			b.advance(t0.Add(11 * time.Second))
			sum += b.target("d0").Limit()
		}
		require.LessOrEqual(t, sum, 25, "%d instances", n)
		require.NotZero(t, sum)
	}
}
