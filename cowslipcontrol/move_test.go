package cowslipcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

const (
	moveDuration      = 2 * time.Minute
	faultReactionTime = 5 * time.Second
	normalLatency     = 10 * time.Millisecond
)

// request is one request of the simulated traffic.
type request struct {
	node    int
	route   string
	version string
	domain  string
	end     time.Time
	latency time.Duration
	outcome cowsliptarget.Outcome
	crashed bool
	release func()
}

// moveSimulation simulates traffic through several Controls while a service
// moves. It counts the requests that the targets ran independently of them.
type moveSimulation struct {
	t                *testing.T
	r                *rand.Rand
	now              time.Time
	nodes            []*bench
	requestsPerTick  float64
	behavior         func(m *moveSimulation, q *request)
	platformUp       bool
	recordedOutcomes map[string]*cowslipmessage.Outcome
	pending          []*request

	total, newRequests, newInFlight int
	newBadAnswers                   int
	faultShownAt                    time.Time // set at the new version's third bad answer if that is a failure, otherwise at its tenth
	newAfterFault                   int
	overCanaryBound                 int      // requests above the bound for a version without evidence
	recentVersions                  []string // versions of the last requests
	reports                         []string
}

func newMoveSimulation(t *testing.T, nodes int, perSecond float64) *moveSimulation {
	m := &moveSimulation{t: t, r: rand.New(rand.NewPCG(1, 2)), now: t0, requestsPerTick: perSecond * tick.Seconds(), platformUp: true, recordedOutcomes: map[string]*cowslipmessage.Outcome{}, behavior: func(*moveSimulation, *request) {}}
	for i := range nodes {
		m.addNode(fmt.Sprint("e", i+1))
	}
	m.exchange() // the nodes have been up for an hour and know each other
	for _, b := range m.nodes {
		b.tick()
	}
	return m
}

func (m *moveSimulation) addNode(id string) {
	b := newBench(m.t, id, domains[len(m.nodes)%3])
	b.now = m.now
	b.c = cowslipcontrol.New(cowslipcontrol.Options{ID: id, FailureDomain: domains[len(m.nodes)%3], Addr: "addr-" + id, Event: func(kind, _, detail string) {
		b.events = append(b.events, kind)
		if kind == "moveDone" || kind == "moveTakenBack" {
			m.reports = append(m.reports, kind+" "+detail)
		}
	}}, m.now.Add(-time.Hour))
	b.c.Stored(m.now, accepted(m.t, 1, text(t0.Add(moveDuration))))
	b.tick()
	for i, d := range domains {
		for _, v := range []string{"v1", "v2"} {
			id := fmt.Sprintf("%s-%s-%d", v, d, i%2)
			b.addTarget(id, "diaries", d, v)
			b.report(id, "run1")
		}
	}
	m.nodes = append(m.nodes, b)
}

// run advances the simulation to d after its start.
func (m *moveSimulation) run(d time.Duration) {
	credit := 0.0
	for m.now.Before(t0.Add(d)) {
		m.now = m.now.Add(tick)
		m.finish()
		for credit += m.requestsPerTick; credit >= 1; credit-- {
			m.send()
		}
		push := false
		for i, b := range m.nodes {
			b.now = m.now
			if m.platformUp {
				b.c.Stored(m.now, accepted(m.t, 1, text(t0.Add(moveDuration))))
			}
			b.tick()
			m.recordOutcomes(i, b)
			push = push || b.effects.Push
			b.effects = cowslipcontrol.Effects{}
		}
		if push || m.now.Sub(t0)%(500*time.Millisecond) == 0 {
			m.exchange()
		}
	}
}

func (m *moveSimulation) send() {
	i := m.r.IntN(len(m.nodes))
	b := m.nodes[i]
	q := &request{node: i, route: "search", domain: domains[m.r.IntN(3)], latency: normalLatency/2 + time.Duration(m.r.Int64N(int64(normalLatency)))}
	if m.r.IntN(4) == 0 {
		q.route = "lookup"
	}
	p, release := b.view.Service("diaries").ChooseVersions(q.route, m.r.Float64())
	q.version, q.release = "v1", release
	if p.Preferred.Allows("v2") {
		q.version = "v2"
	}
	m.behavior(m, q)
	q.end = m.now.Add(q.latency)
	m.pending = append(m.pending, q)
	m.total++
	m.recentVersions = append(m.recentVersions, q.version)
	if len(m.recentVersions) > 200 {
		m.recentVersions = m.recentVersions[1:]
	}
	if q.version != "v2" {
		return
	}
	m.newRequests++
	m.newInFlight++
	if m.state() == "canary" && m.newInFlight > 1 && float64(m.newRequests) > 0.01*float64(m.total) {
		m.overCanaryBound++
	}
	if !m.faultShownAt.IsZero() && m.now.After(m.faultShownAt.Add(faultReactionTime)) {
		m.newAfterFault++
	}
}

// newShare returns the new version's share of the last requests.
func (m *moveSimulation) newShare() float64 {
	n := 0
	for _, v := range m.recentVersions {
		if v == "v2" {
			n++
		}
	}
	return float64(n) / float64(max(len(m.recentVersions), 1))
}

func (m *moveSimulation) finish() {
	var left []*request
	for _, q := range m.pending {
		if q.end.After(m.now) {
			left = append(left, q)
			continue
		}
		q.release()
		if q.version == "v2" {
			m.newInFlight--
			if q.outcome != cowsliptarget.OK || q.latency > 2*normalLatency {
				m.newBadAnswers++
			}
			if m.faultShownAt.IsZero() && (m.newBadAnswers == 3 && q.outcome != cowsliptarget.OK || m.newBadAnswers == 10) {
				m.faultShownAt = m.now
			}
		}
		b := m.nodes[q.node]
		id := fmt.Sprintf("%s-%s-%d", q.version, q.domain, map[string]int{"cerro": 0, "plan": 1, "puerto": 0}[q.domain])
		b.c.Observe(cowslipcontrol.Sample{Target: b.target(id), Route: q.route, Outcome: q.outcome, Crashed: q.crashed, Latency: q.latency, At: m.now})
		if q.crashed {
			b.c.Crashed(m.now, cowslipcontrol.Crash{Fingerprint: m.r.Uint64(), Incident: fmt.Sprint(m.total, m.r.Uint64()), Target: b.target(id), Incarnation: fmt.Sprint(m.r.Uint64())})
		}
	}
	m.pending = left
}

// recordOutcomes simulates the platform, which keeps a move's first outcome.
func (m *moveSimulation) recordOutcomes(_ int, b *bench) {
	if !m.platformUp {
		return
	}
	for _, o := range b.effects.Outcomes {
		if m.recordedOutcomes[o.GetMove()] == nil {
			m.recordedOutcomes[o.GetMove()] = o
		}
		b.c.Outcome(m.recordedOutcomes[o.GetMove()])
	}
}

func (m *moveSimulation) exchange() {
	for i, a := range m.nodes {
		for j, b := range m.nodes {
			if i != j {
				b.c.Message(m.now, time.Time{}, a.c.State(m.now, fmt.Sprint("e", j+1)))
				a.c.Message(m.now, m.now, b.c.State(m.now, fmt.Sprint("e", i+1)))
			}
		}
	}
}

func (m *moveSimulation) state() string { return m.nodes[0].c.Moves(m.now)[0].State }

func failNew(share float64) func(*moveSimulation, *request) {
	return func(m *moveSimulation, q *request) {
		if q.version == "v2" && m.r.Float64() < share {
			q.outcome = cowsliptarget.Failed
		}
	}
}

// A move to a good version completes in time and is reported once.
func TestGoodVersionIsDoneInTime(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		behave    func(*moveSimulation, *request)
		during    func(m *moveSimulation)
	}{
		{"much traffic", 200, nil, nil},
		{"little traffic", 1, nil, nil},
		{"very little traffic", 0.2, nil, nil},
		{"no traffic", 0, nil, nil},
		{"a few failures of both versions", 200, func(m *moveSimulation, q *request) {
			if m.r.IntN(200) == 0 {
				q.outcome = cowsliptarget.Failed
			}
		}, nil},
		{"a failure domain in trouble", 200, func(m *moveSimulation, q *request) {
			if q.domain == "plan" && m.now.After(t0.Add(moveDuration/5)) && m.r.IntN(3) == 0 {
				q.outcome = cowsliptarget.Failed
			}
		}, nil},
		{"platform away for most of it", 50, nil, func(m *moveSimulation) {
			m.run(5 * time.Second)
			m.platformUp = false
			m.run(moveDuration * 92 / 100)
			m.platformUp = true
		}},
		{"an instance replaced in the middle", 50, nil, func(m *moveSimulation) {
			m.run(moveDuration / 2)
			m.nodes[3].c.Leave()
			m.exchange()
			m.finish()
			for _, q := range m.pending {
				q.node = 0
			}
			m.nodes = append(m.nodes[:3], m.nodes[4:]...)
			m.addNode("e9")
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			m := newMoveSimulation(t, 5, c.perSecond)
			if c.behave != nil {
				m.behavior = c.behave
			}
			if c.during != nil {
				c.during(m)
			}
			m.run(moveDuration)
			require.Equal(t, "done", m.state(), "%v", m.nodes[0].c.Moves(m.now))
			require.Equal(t, []string{"moveDone all routes moved"}, m.reports)
			m.run(moveDuration + 10*time.Second)
			if c.perSecond > 1 {
				require.Equal(t, 1.0, m.newShare())
			}
		})
	}
}

// A bad version gets only a small share of the requests, and none once its fault
// has shown for faultReactionTime. Its move is taken back and reported once.
func TestBadVersionIsTakenBack(t *testing.T) {
	slow := func(_ *moveSimulation, q *request) {
		if q.version == "v2" {
			q.latency = 5 * normalLatency
		}
	}
	for _, c := range []struct {
		name      string
		perSecond float64
		behave    func(*moveSimulation, *request)
		at        time.Duration // when the fault starts
		canary    bool          // the fault shows before the version has enough evidence
	}{
		{"all fail at once", 200, failNew(1), 0, true},
		{"a fifth fail", 200, failNew(0.2), 0, true},
		{"little traffic", 2, failNew(1), 0, true},
		{"slow", 200, slow, 0, true},
		{"slow at little traffic", 5, slow, 0, true},
		{"late", 200, failNew(0.3), moveDuration * 6 / 10, false},
		{"late and slow", 200, slow, moveDuration * 6 / 10, false},
		{"near the end", 200, failNew(0.3), moveDuration * 85 / 100, false},
		{"one route only", 200, func(_ *moveSimulation, q *request) {
			if q.version == "v2" && q.route == "lookup" {
				q.outcome = cowsliptarget.Failed
			}
		}, 0, true},
		{"one route only, late", 200, func(m *moveSimulation, q *request) {
			if q.version == "v2" && q.route == "lookup" && m.r.IntN(3) == 0 {
				q.outcome = cowsliptarget.Failed
			}
		}, moveDuration / 2, false},
		{"under load only", 200, func(m *moveSimulation, q *request) {
			if q.version == "v2" && m.newShare() > 0.3 && m.r.IntN(2) == 0 {
				q.outcome = cowsliptarget.Failed
			}
		}, 0, false},
		{"crashes under any request", 200, func(_ *moveSimulation, q *request) {
			if q.version == "v2" {
				q.outcome, q.crashed = cowsliptarget.Lost, true
			}
		}, 0, true},
		{"fails while a crashing request goes about", 200, func(m *moveSimulation, q *request) {
			failNew(0.3)(m, q)
			if m.r.IntN(500) == 0 {
				q.outcome, q.crashed = cowsliptarget.Lost, true
			}
		}, 0, true},
	} {
		for _, platform := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/platform %v", c.name, platform), func(t *testing.T) {
				t.Parallel()
				m := newMoveSimulation(t, 5, c.perSecond)
				m.run(10 * time.Second)
				m.platformUp = platform
				m.run(c.at)
				m.behavior = c.behave
				m.run(moveDuration)
				require.Zero(t, m.newAfterFault, "requests to the new version later than %v after its fault showed", faultReactionTime)
				if c.canary {
					require.Zero(t, m.overCanaryBound, "canary requests beyond one in flight and 1%% of all requests")
				}
				m.platformUp = true
				stopped := m.newRequests
				m.run(moveDuration + 5*time.Second)
				require.Equal(t, "takenBack", m.state(), "%v", m.nodes[0].c.Moves(m.now))
				require.Len(t, m.reports, 1)
				require.Equal(t, stopped, m.newRequests, "requests to the new version after its move was stopped")
			})
		}
	}
}

// Even at low traffic, a version that fails after a few good answers must get no
// requests once its fault has shown for faultReactionTime.
func TestBadVersionAfterFewGoodAnswers(t *testing.T) {
	for seed := range uint64(12) {
		m := newMoveSimulation(t, 5, 2)
		m.r = rand.New(rand.NewPCG(seed, 2))
		m.run(10 * time.Second)
		m.behavior = failNew(1)
		m.run(moveDuration)
		require.Zero(t, m.newAfterFault, "seed %d", seed)
	}
}

// Only the instance that wrote the recorded outcome reports it, even if the
// platform's response was lost and it learns the outcome from a peer.
func TestOutcomeIsReportedByItsWriter(t *testing.T) {
	for _, c := range []struct {
		by   string
		want int
	}{{"e1", 1}, {"e2", 0}} {
		b := newBench(t, "e1", "cerro")
		o := &cowslipmessage.Outcome{Move: "m", Done: true, By: c.by}
		for range 2 {
			b.peerAnswers("e2", "plan", 0, -1, func(s *cowslipmessage.State) { s.Outcomes = []*cowslipmessage.Outcome{o} })
		}
		n := 0
		for _, e := range b.events {
			if e == "moveDone m" {
				n++
			}
		}
		require.Equal(t, c.want, n)
	}
}

// A single request that crashes targets does not take back a good version.
func TestCrashingRequestBlamesNoVersion(t *testing.T) {
	m := newMoveSimulation(t, 5, 200)
	m.run(moveDuration / 5)
	b := m.nodes[0]
	for i := range 10 {
		b.c.Crashed(m.now, cowslipcontrol.Crash{Fingerprint: 7, Incident: fmt.Sprint("q", i), Target: b.target("v2-cerro-0"), Incarnation: fmt.Sprint("run", i)})
	}
	m.run(moveDuration)
	require.Equal(t, "done", m.state())
}
