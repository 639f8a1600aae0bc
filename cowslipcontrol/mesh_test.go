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

// mesh is several entry instances around the same targets, over one virtual
// clock, with exchanges that may fail.
type mesh struct {
	t           *rapid.T
	nodes       []*bench
	alive       []bool
	ids         []string
	targets     []string
	runs        map[string]int
	restartedAt map[string]time.Time // of the current run
	learnsAt    map[string]time.Time // by node and target: when it learns of the run
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

// restartTarget starts a target anew: its connections end for all instances at
// once, and each learns of the new run when it next asks.
func (m *mesh) restartTarget(x string) {
	m.runs[x]++
	m.restartedAt[x] = m.now
	for i, b := range m.nodes {
		if t := b.target(x); t != nil && m.alive[i] {
			t.Hold()
		}
		m.learnsAt[m.ids[i]+x] = m.now.Add(m.delay("probe"))
	}
}

// step passes one tick.
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

// exchange lets each instance exchange with each other one, some failing.
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

// check adds up, for each cold target, what all instances may send to it.
func (m *mesh) check() {
	for _, x := range m.targets {
		if !m.cold(x) {
			continue
		}
		sum := 0
		for i, b := range m.nodes {
			t := b.target(x)
			if m.alive[i] && t != nil && t.Held() == 0 && !t.Leaving() {
				sum += t.Limit()
			}
		}
		bears := 1
		if x[0] == 'h' {
			bears = 3
		}
		if sum > bears {
			m.t.Fatalf("%v: cold target %s bears %d, but instances may send %d", m.now.Sub(t0), x, bears, sum)
		}
	}
}

// Over all instances together a cold target never receives more than it bears,
// while targets restart and instances join, leave and die.
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

// A warm fleet's share of connections never goes over a target's cap.
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
