package cowslipadmission_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"cowslipflow/cowslipadmission"
)

// Sizes of the model. Each query has one part for each service and needs all but modelMissing
// of them. Its targets run modelSlots parts at once and queue modelQueue more; they shed the
// rest.
const (
	modelInstances = 64
	modelServices  = 10
	modelReplicas  = 2
	modelMissing   = 1
	modelSlots     = 2
	modelQueue     = 8
	modelWork      = 10 * time.Millisecond
	modelHop       = time.Millisecond
	modelTarget    = 100 * time.Millisecond // within which an answer is in time
	modelFresh     = 25 * time.Millisecond  // for which an instance relies on a reported load
	modelSlowShare = 0.15
	modelTimeout   = 400 * time.Millisecond
	// modelCapacity is how many queries per second all slots could run.
	modelCapacity = 320
)

// stream is a part of the demand.
type stream struct {
	priority  int
	workspace string
	weight    float64
	rate      float64         // queries per second at all instances together
	among     func() int      // chooses the instance; uniform if nil
	stops     time.Duration   // when the stream ends; never if 0
	starts    time.Duration   // when it begins
	count     [60]streamCount // by second of arrival
}

type streamCount struct{ sent, admitted, refused, inTime int }

// model runs streams against targets on a virtual clock. Instances share nothing but what
// targets answer.
type model struct {
	now        time.Time
	events     eventQueue
	random     *rand.Rand
	pools      []*cowslipadmission.Pool // none to admit everything
	targets    [modelServices][modelReplicas]modelTargetState
	streams    []*stream
	parts      [60]struct{ sent, shed int } // by second
	known      [modelInstances][modelServices][modelReplicas]modelLoad
	slowFor    time.Duration // a share of the targets is slower, other ones each time; none if 0
	slowFactor float64
	services   int  // parts of a query
	noReports  bool // targets report an empty queue whatever they do
}

type modelTargetState struct {
	running int
	queue   []*modelPart
}

// modelLoad is what an instance knows of a target's load.
type modelLoad struct {
	load, inFlight int
	at             time.Time
}

type modelPart struct {
	query            *modelQuery
	service, replica int
	retried          bool
}

type modelQuery struct {
	instance         int
	arrived          time.Time
	stream           *stream
	second           int
	done, gone       int
	sent, shed, open int
	closed           bool
}

type event struct {
	at  time.Time
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

var modelStart = time.Unix(1e9, 0)

func newModel(seed uint64, admission bool, l ...*stream) *model {
	m := &model{now: modelStart, random: rand.New(rand.NewPCG(seed, 0)), streams: l, services: modelServices}
	if admission {
		for range modelInstances {
			m.pools = append(m.pools, &cowslipadmission.Pool{Rand: m.random.Float64})
		}
	}
	for _, s := range l {
		m.after(s.starts, func() { m.arrive(s) })
	}
	return m
}

func (m *model) after(d time.Duration, f func()) { heap.Push(&m.events, event{m.now.Add(d), f}) }

func (m *model) second() int { return int(m.now.Sub(modelStart) / time.Second) }

// run runs the model until the given time since its start.
func (m *model) run(until time.Duration) *model {
	for len(m.events) > 0 && m.events[0].at.Before(modelStart.Add(until)) {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.run()
	}
	return m
}

func (m *model) arrive(s *stream) {
	if s.stops > 0 && m.now.Sub(modelStart) >= s.stops {
		return
	}
	m.after(time.Duration(m.random.ExpFloat64()/s.rate*float64(time.Second)), func() { m.arrive(s) })
	s.count[m.second()].sent++
	m.ask(&modelQuery{arrived: m.now, stream: s, second: m.second()}, true)
}

// ask sends a query to an instance. A refused caller waits up to a third of the time it has
// left, and sends it once more.
func (m *model) ask(q *modelQuery, again bool) {
	q.instance = m.random.IntN(modelInstances)
	if q.stream.among != nil {
		q.instance = q.stream.among()
	}
	left := modelTimeout - m.now.Sub(q.arrived)
	if m.pools != nil {
		r := cowslipadmission.Request{Priority: q.stream.priority, Workspace: q.stream.workspace, Weight: q.stream.weight, Left: left, Expected: modelWork}
		if d := m.pools[q.instance].Admit(m.now, r); !d.Admitted {
			if again && d.RetryAfter <= left/3 {
				m.after(d.RetryAfter, func() { m.ask(q, false) })
			} else {
				q.stream.count[q.second].refused++
			}
			return
		}
	}
	q.stream.count[q.second].admitted++
	q.open = m.services
	for s := range m.services {
		m.send(&modelPart{query: q, service: s, replica: m.choose(q.instance, s)})
	}
	m.after(left, func() { m.close(q, false) })
}

// choose returns the replica with the lower load, as far as the instance knows it.
func (m *model) choose(instance, service int) int {
	l := &m.known[instance][service]
	n := m.random.IntN(modelReplicas)
	if m.load(&l[1-n]) < m.load(&l[n]) {
		return 1 - n
	}
	return n
}

func (m *model) load(l *modelLoad) int {
	if m.now.Sub(l.at) > modelFresh {
		return l.inFlight
	}
	return max(l.inFlight, l.load)
}

func (m *model) send(p *modelPart) {
	p.query.sent++
	m.known[p.query.instance][p.service][p.replica].inFlight++
	m.parts[m.second()].sent++
	m.after(modelHop, func() { m.receive(p) })
}

func (m *model) receive(p *modelPart) {
	t := &m.targets[p.service][p.replica]
	switch {
	case t.running < modelSlots:
		m.start(t, p)
	case len(t.queue) < modelQueue:
		t.queue = append(t.queue, p)
	default:
		m.answer(t, p, false)
	}
}

func (m *model) start(t *modelTargetState, p *modelPart) {
	t.running++
	work := time.Duration(m.slowness(p) * float64(modelWork) * math.Exp(0.5*m.random.NormFloat64()-0.125))
	m.after(work, func() {
		t.running--
		for len(t.queue) > 0 && t.running < modelSlots {
			n := t.queue[0]
			t.queue = t.queue[1:]
			if m.now.Sub(n.query.arrived) >= modelTimeout {
				m.answer(t, n, false)
				continue
			}
			m.start(t, n)
		}
		m.answer(t, p, true)
	})
}

// slowness returns the factor by which a target is slower at this moment. It is the same in
// all runs of the model.
func (m *model) slowness(p *modelPart) float64 {
	if m.slowFor == 0 {
		return 1
	}
	span := m.now.Sub(modelStart) / m.slowFor
	if rand.New(rand.NewPCG(uint64(span), uint64(p.service*modelReplicas+p.replica))).Float64() < modelSlowShare {
		return m.slowFactor
	}
	return 1
}

func (m *model) answer(t *modelTargetState, p *modelPart, ok bool) {
	running, waiting := t.running, len(t.queue)
	if m.noReports {
		running, waiting = 0, 0
	}
	m.after(modelHop, func() {
		q := p.query
		l := &m.known[q.instance][p.service][p.replica]
		l.load, l.at = running+waiting, m.now
		l.inFlight--
		if m.pools != nil {
			m.pools[q.instance].Reported(m.now, running, waiting, modelSlots, modelHop)
		}
		switch {
		case ok:
			q.open--
			q.done++
		case !p.retried:
			q.shed++
			m.parts[m.second()].shed++
			m.send(&modelPart{query: q, service: p.service, replica: 1 - p.replica, retried: true})
		default:
			q.shed++
			m.parts[m.second()].shed++
			q.open--
			q.gone++
		}
		least := max(m.services-modelMissing, 1)
		late := m.now.Sub(q.arrived) > modelTarget
		if q.open == 0 || q.gone > m.services-least || late && q.done >= least {
			m.close(q, q.done >= least)
		}
	})
}

func (m *model) close(q *modelQuery, answered bool) {
	if q.closed {
		return
	}
	q.closed = true
	inTime := answered && m.now.Sub(q.arrived) <= modelTarget
	if inTime {
		q.stream.count[q.second].inTime++
	}
	if m.pools != nil {
		m.pools[q.instance].Ended(m.now, cowslipadmission.Result{Priority: q.stream.priority, InTime: inTime, Parts: q.sent, Shed: q.shed})
	}
}

// sum adds up the counts of a stream in the seconds from first up to last, not included.
func (s *stream) sum(first, last int) streamCount {
	var x streamCount
	for _, c := range s.count[first:last] {
		x.sent, x.admitted, x.refused, x.inTime = x.sent+c.sent, x.admitted+c.admitted, x.refused+c.refused, x.inTime+c.inTime
	}
	return x
}

// served is the share of the queries that were answered in time.
func (c streamCount) served() float64 { return float64(c.inTime) / float64(c.sent) }

// inTimeRate is the rate of all queries that were answered in time.
func (m *model) inTimeRate(first, last int) float64 {
	n := 0
	for _, s := range m.streams {
		n += s.sum(first, last).inTime
	}
	return float64(n) / float64(last-first)
}

// shedShare is the share of all parts that targets shed.
func (m *model) shedShare(first, last int) float64 {
	sent, shed := 0, 0
	for _, p := range m.parts[first:last] {
		sent, shed = sent+p.sent, shed+p.shed
	}
	return float64(shed) / float64(sent)
}
