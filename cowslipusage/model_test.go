package cowslipusage_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipusage"
)

const (
	lease = 3 * time.Second
	late  = 10 * time.Second
	step  = 50 * time.Millisecond
)

var errAway = errors.New("no answer")

type storedKey struct {
	cowslipplatform.Value
	lease uint64
}

// call is a call in flight. The other side sees it at effectAt, if at all, and its caller
// gets the result at doneAt.
type call struct {
	action           cowslipusage.Action
	effectAt, doneAt time.Time
	applied          bool
	loseAnswer       bool
	result           cowslipusage.Result
}

// instance is one instance of the model. Its duty and its reporter each have one call in
// flight at most.
type instance struct {
	id          string
	incarnation int
	ahead       time.Duration // its clock
	started     time.Time
	frozenUntil time.Time
	cutUntil    time.Time // from the store, the platform and the others
	counter     *cowslipusage.Counter
	duty        *cowslipusage.Duty
	collector   *cowslipusage.Collector
	reporter    *cowslipusage.Reporter
	token       uint64
	calls       [2]*call
	told        string // holder that has got its counts
	toldAt      time.Time
}

// model runs instances against a store and a billing interface. The instances see the
// holder with a delay, as through the mirror.
type model struct {
	r             *rand.Rand
	now           time.Time
	keys          map[string]storedKey
	leases        map[uint64]time.Time
	revision      uint64
	instances     []*instance
	storeDown     time.Time // until then
	platformDown  time.Time
	platformSlow  bool
	reliable      bool // no answers are lost
	tooMany       time.Time
	seen          []*cowslipusage.Holder // by step
	seenRevisions []uint64
	bodies        map[int64]string
	reportedAt    map[int64]time.Time
	lastToken     uint64
	holders       []string // in the order in which they called
	changedAt     []time.Time
	tokenOf       map[uint64]string
	began         map[int64]map[string]uint64
	storeCalls    int
	faults        []string
}

func newModel(seed uint64, instances int) *model {
	m := &model{r: rand.New(rand.NewPCG(seed, 1)), now: start, keys: map[string]storedKey{}, leases: map[uint64]time.Time{}, bodies: map[int64]string{}, reportedAt: map[int64]time.Time{}, tokenOf: map[uint64]string{}, began: map[int64]map[string]uint64{}}
	for i := range instances {
		x := &instance{id: fmt.Sprint("e", i)}
		m.instances = append(m.instances, x)
		m.start(x)
	}
	return m
}

func (m *model) start(x *instance) {
	x.incarnation++
	x.started = m.now
	x.counter = &cowslipusage.Counter{}
	x.duty = cowslipusage.NewDuty(cowslipusage.Holder{ID: x.id, Incarnation: fmt.Sprint(x.incarnation)}, lease, m.clock(x), nil)
	x.reporter, x.calls, x.token, x.told = nil, [2]*call{}, 0, ""
}

func (m *model) clock(x *instance) time.Time { return m.now.Add(x.ahead) }

func (m *model) fault(format string, a ...any) {
	m.faults = append(m.faults, m.now.Sub(start).String()+" "+fmt.Sprintf(format, a...))
}

func (m *model) run(d time.Duration, disturb func()) {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(step) {
		disturb()
		for id, until := range m.leases {
			if m.now.Before(until) {
				continue
			}
			delete(m.leases, id)
			for k, v := range m.keys {
				if v.lease == id {
					delete(m.keys, k)
				}
			}
		}
		var h *cowslipusage.Holder
		v := m.keys[cowslipusage.HolderKey]
		if !v.Revision.IsZero() {
			h = &cowslipusage.Holder{}
			_ = json.Unmarshal(v.Data, h)
		}
		m.seen, m.seenRevisions = append(m.seen, h), append(m.seenRevisions, v.Revision.Number())
		for i, x := range m.instances {
			m.stepCalls(x)
			if !m.now.Before(x.frozenUntil) {
				m.stepInstance(i, x)
			}
		}
	}
}

func (m *model) stepCalls(x *instance) {
	for lane, c := range x.calls {
		if c != nil && !c.applied && !m.now.Before(c.effectAt) {
			c.applied = true
			c.result = m.apply(x, c.action)
			if c.loseAnswer {
				c.result = cowslipusage.Result{Err: errAway}
			}
		}
		if c == nil || m.now.Before(c.doneAt) || m.now.Before(x.frozenUntil) {
			continue
		}
		x.calls[lane] = nil
		if lane == 0 {
			x.duty.Done(m.clock(x), c.result)
		} else if x.reporter != nil {
			d, _ := x.counter.Correction()
			x.reporter.Done(m.clock(x), d, c.result)
		}
	}
}

func (m *model) stepInstance(i int, x *instance) {
	now := m.clock(x)
	if m.r.IntN(4) == 0 {
		k := cowslipusage.WindowAt(m.now, window)
		if m.began[k] == nil {
			m.began[k] = map[string]uint64{}
		}
		w := []string{"a", "b"}[m.r.IntN(2)]
		m.began[k][w]++
		x.counter.Began(now, w)
	}
	if !x.duty.Tick(now) && x.calls[1] != nil && x.calls[1].action.Kind == cowslipusage.Send && !x.calls[1].applied {
		c := x.calls[1]
		c.applied, c.doneAt, c.result = true, m.now, cowslipusage.Result{Err: errAway}
	}
	token, holds := x.duty.Holds(now)
	switch {
	case !holds:
		x.reporter, x.token, x.calls[1] = nil, 0, nil
	case token != x.token:
		if o := m.tokenOf[token]; o != "" {
			m.fault("two holders with token %d: %s and %s", token, o, x.id)
		}
		m.tokenOf[token] = x.id
		x.token, x.collector = token, cowslipusage.NewCollector(window)
		x.reporter = cowslipusage.NewReporter(cowslipusage.ReporterOptions{ID: x.id, Token: token, Window: window, Late: late, MinPeriod: step}, x.collector, now)
	}
	seen := cowslipusage.Seen{Rank: -1}
	h := m.seen[max(0, len(m.seen)-1-i*8)]
	if h != nil {
		seen.Holder = h.ID
	}
	if i < 3 {
		seen.Rank = i
	}
	if x.calls[0] == nil {
		m.begin(x, 0, x.duty.Next(now, seen))
	}
	if x.reporter != nil && x.calls[1] == nil {
		d, _ := x.counter.Correction()
		m.begin(x, 1, x.reporter.Next(now, d, x.duty.MayAct(now)))
	}
	if h != nil && (x.told != h.ID+h.Incarnation || m.now.Sub(x.toldAt) >= time.Second) {
		m.tell(x, *h)
	}
}

// tell sends the counts of an instance to the holder.
func (m *model) tell(x *instance, h cowslipusage.Holder) {
	x.toldAt = m.now
	if x.told != h.ID+h.Incarnation {
		x.counter.HolderChanged()
	}
	w, n := x.counter.Report(m.clock(x))
	for _, o := range m.instances {
		if o.id != h.ID || o.reporter == nil || m.now.Before(o.frozenUntil) || m.cut(x) || m.cut(o) {
			continue
		}
		now := m.clock(o)
		o.collector.Add(now, cowslipusage.Report{ID: x.id, Incarnation: fmt.Sprint(x.incarnation), Now: m.clock(x), Windows: w})
		if o.collector.Heard(now) < 3 {
			continue
		}
		own := o.collector.Correction(now)
		o.counter.Correct(own)
		if m.r.IntN(10) > 0 {
			x.counter.Correct(o.collector.CorrectionFor(x.id, own))
			x.counter.Delivered(n)
			x.told = h.ID + h.Incarnation
		}
	}
}

func (m *model) cut(x *instance) bool { return m.now.Before(x.cutUntil) }

func (m *model) begin(x *instance, lane int, a cowslipusage.Action) {
	if a.Kind == cowslipusage.None {
		return
	}
	c := &call{action: a, effectAt: m.now.Add(time.Duration(m.r.IntN(2)) * step), loseAnswer: m.r.IntN(15) == 0 && !m.reliable}
	c.doneAt = c.effectAt.Add(time.Duration(m.r.IntN(4)) * step)
	away := m.now.Before(m.storeDown)
	if a.Kind == cowslipusage.Send {
		away = m.now.Before(m.platformDown)
		if m.platformSlow {
			c.doneAt = c.effectAt.Add(2 * time.Second)
		}
	} else {
		m.storeCalls++
	}
	if away || m.cut(x) {
		c.applied, c.doneAt, c.result = true, m.now.Add(time.Second), cowslipusage.Result{Err: errAway}
	}
	x.calls[lane] = c
}

func (m *model) apply(x *instance, a cowslipusage.Action) cowslipusage.Result {
	_, leased := m.leases[a.Lease.ID()]
	switch a.Kind {
	case cowslipusage.Send:
		return cowslipusage.Result{Err: m.receive(x, a)}
	case cowslipusage.Grant:
		m.revision++
		m.leases[m.revision] = m.now.Add(a.TTL)
		return cowslipusage.Result{Lease: cowslipplatform.NewLease(0, m.revision)}
	case cowslipusage.KeepAlive:
		if !leased {
			return cowslipusage.Result{Err: cowslipplatform.ErrLeaseExpired}
		}
		m.leases[a.Lease.ID()] = m.now.Add(lease)
	case cowslipusage.Revoke:
		m.leases[a.Lease.ID()] = m.now
	case cowslipusage.Get:
		v, ok := m.keys[a.Key]
		if !ok {
			return cowslipusage.Result{Err: cowslipplatform.ErrNotFound}
		}
		return cowslipusage.Result{Value: v.Value}
	case cowslipusage.Put:
		if !leased {
			return cowslipusage.Result{Err: cowslipplatform.ErrLeaseExpired}
		}
		if m.keys[a.Key].Revision != a.Expect {
			return cowslipusage.Result{Err: cowslipplatform.ErrConflict}
		}
		m.revision++
		m.keys[a.Key] = storedKey{cowslipplatform.Value{Key: a.Key, Data: a.Data, Revision: cowslipplatform.NewRevision(0, m.revision)}, a.Lease.ID()}
		return cowslipusage.Result{Revision: cowslipplatform.NewRevision(0, m.revision)}
	}
	return cowslipusage.Result{}
}

// receive is the billing interface. It notes the calls that break a rule.
func (m *model) receive(x *instance, a cowslipusage.Action) error {
	if a.Token < m.lastToken {
		m.fault("%s called with token %d after %d", x.id, a.Token, m.lastToken)
	}
	m.lastToken = max(m.lastToken, a.Token)
	if n := len(m.holders); n == 0 || m.holders[n-1] != x.id {
		if n >= 2 && m.holders[n-2] == x.id && m.now.Sub(m.changedAt[n-1]) < lease {
			m.fault("holders %s, %s, %s within %v", x.id, m.holders[n-1], x.id, m.now.Sub(m.changedAt[n-1]))
		}
		m.holders, m.changedAt = append(m.holders, x.id), append(m.changedAt, m.now)
	}
	if m.now.Before(m.tooMany) {
		return cowslipusage.ErrTooManyCalls
	}
	if b, ok := m.bodies[a.Window]; ok && b != string(a.Data) {
		m.fault("two reports of window %d: %s and %s", a.Window, b, a.Data)
	}
	if _, ok := m.bodies[a.Window]; !ok {
		m.bodies[a.Window], m.reportedAt[a.Window] = string(a.Data), m.now
	}
	return nil
}

func (m *model) summary() string { return strings.Join(m.faults, "\n") }
