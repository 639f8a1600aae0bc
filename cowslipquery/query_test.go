package cowslipquery_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const deadline = 400 * time.Millisecond

// targetReply is a target's simulated answer to a sub-request.
type targetReply struct {
	after   time.Duration
	outcome cowsliptarget.Outcome
	crashed bool
}

// queryHarness drives a Query on a virtual clock.
type queryHarness struct {
	now     time.Time
	service *cowsliproute.Service
	view    *cowsliproute.View
	reply   func(n int, a cowslipquery.Action) targetReply
	sent    []cowslipquery.Action
	pending endQueue
}

type attemptEnd struct {
	at      time.Time
	attempt int
	action  cowslipquery.Action
	reply   targetReply
}

type endQueue []attemptEnd

func (e endQueue) Len() int           { return len(e) }
func (e endQueue) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e endQueue) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }
func (e *endQueue) Push(x any)        { *e = append(*e, x.(attemptEnd)) }
func (e *endQueue) Pop() any {
	o := *e
	x := o[len(o)-1]
	*e = o[:len(o)-1]
	return x
}

func (w *queryHarness) perform(l []cowslipquery.Action) {
	for _, a := range l {
		if a.Target == nil {
			for i := range w.pending {
				if p := &w.pending[i]; p.attempt == a.Attempt {
					p.at, p.reply.outcome = w.now, cowsliptarget.Cancelled
				}
			}
			heap.Init(&w.pending)
			continue
		}
		r := w.reply(len(w.sent), a)
		w.sent = append(w.sent, a)
		heap.Push(&w.pending, attemptEnd{at: w.now.Add(r.after), attempt: a.Attempt, action: a, reply: r})
	}
}

func (w *queryHarness) run(q *cowslipquery.Query) cowslipquery.Result {
	w.perform(q.Start(w.now))
	for !q.Done() {
		n := q.NextTick(w.now)
		if len(w.pending) > 0 && !w.pending[0].at.After(n) {
			e := heap.Pop(&w.pending).(attemptEnd)
			w.now = e.at
			e.action.Target.Release()
			w.perform(q.AttemptEnded(w.now, e.attempt, w.replyTo(e)))
			continue
		}
		w.now = n
		w.perform(q.Tick(w.now))
	}
	return q.Result()
}

func (w *queryHarness) replyTo(e attemptEnd) cowslipquery.Reply {
	r := cowslipquery.Reply{Outcome: e.reply.outcome, Crashed: e.reply.crashed}
	if r.Outcome == cowsliptarget.OK {
		s := e.action.Search
		r.Reply = cowsliptarget.SearchReply{ID: s.ID, IndexVersion: s.IndexVersion, Lo: s.Lo, Hi: s.Hi}
		for k := s.Lo; k < s.Hi; k += keyStep {
			r.Reply.Items = append(r.Reply.Items, cowsliptarget.Item{Key: k, Text: fmt.Sprint("v", s.IndexVersion)})
		}
	}
	return r
}

// keyStep is the distance between the keys of an answer. A power of two of at most
// 1/32 of the key space divides every shard evenly.
const keyStep = 512

func target(name, domain, version string) *cowsliproute.Target {
	t := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: name, FailureDomain: domain, Version: version, Slots: 2})
	t.SetLimit(4)
	return t
}

// snapshot returns a snapshot of count shards, each with a replica in both failure
// domains. The shards listed in lost are left out.
func snapshot(version uint64, count int, lost ...int) cowsliproute.Snapshot {
	s := cowsliproute.Snapshot{IndexVersion: version}
	w := uint32(cowsliptarget.KeySpace / count)
	gone := map[int]bool{}
	for _, l := range lost {
		gone[l] = true
	}
	for i := range count {
		if gone[i] {
			continue
		}
		p := cowsliproute.Shard{Lo: uint32(i) * w, Hi: uint32(i+1) * w}
		for _, d := range []string{"cerro", "plan"} {
			p.Replicas = append(p.Replicas, target(fmt.Sprintf("v%d-%d-%s", version, i, d), d, "v1"))
		}
		s.Shards = append(s.Shards, p)
	}
	return s
}

func newQueryHarness(t require.TestingT, f func(n int, a cowslipquery.Action) targetReply, s ...cowsliproute.Snapshot) *queryHarness {
	c, err := cowslipconfig.Parse([]byte("[[failureDomains]]\nname='cerro'\n[[services]]\nname='diaries'\nkind='wide'\nshards=8\n"))
	require.NoError(t, err)
	x, _ := c.Service("diaries")
	b := &cowsliproute.Budget{}
	b.Earn(8)
	v := cowsliproute.NewService(cowsliproute.ServiceOptions{Config: x, Snapshots: s, HedgeAfter: 20 * time.Millisecond, Budget: b, Limiter: &cowsliproute.Limiter{}})
	return &queryHarness{
		now: t0, service: v, reply: f,
		view: cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro"}),
	}
}

func (w *queryHarness) query(change ...func(*cowslipquery.Options)) *cowslipquery.Query {
	o := cowslipquery.Options{ID: "q", View: w.view, Service: w.service, Start: w.now, Deadline: deadline, Rand: rand.New(rand.NewPCG(1, 2)), AcceptStale: true}
	for _, f := range change {
		f(&o)
	}
	return cowslipquery.New(o)
}

const ms = time.Millisecond

func replyOK(int, cowslipquery.Action) targetReply { return targetReply{after: 5 * ms} }

// replyFor returns o for requests to the shard that starts at lo and a good answer for
// all others.
func replyFor(lo uint32, o targetReply) func(int, cowslipquery.Action) targetReply {
	return func(n int, a cowslipquery.Action) targetReply {
		if a.Search.Lo == lo {
			return o
		}
		return replyOK(n, a)
	}
}

// replyOnceFor returns o only for the first request to the shard that starts at lo.
func replyOnceFor(lo uint32, o targetReply) func(int, cowslipquery.Action) targetReply {
	done := false
	return func(n int, a cowslipquery.Action) targetReply {
		if a.Search.Lo == lo && !done {
			done = true
			return o
		}
		return replyOK(n, a)
	}
}

func TestQuery(t *testing.T) {
	const shard = cowsliptarget.KeySpace / 8
	gap := []cowslipquery.Range{{Lo: 3 * shard, Hi: 4 * shard}}
	none := []cowslipquery.Range{}
	for _, c := range []struct {
		name      string
		reply     func(int, cowslipquery.Action) targetReply
		snapshots []cowsliproute.Snapshot
		version   uint64
		missing   []cowslipquery.Range
		sent      int
	}{
		{"all answer", replyOK, []cowsliproute.Snapshot{snapshot(1, 8)}, 1, none, 8},
		{"a shard lost all replicas", replyOK, []cowsliproute.Snapshot{snapshot(1, 8, 3)}, 1, gap, 7},
		{"a replica lags a version", replyOnceFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.WrongVersion}), []cowsliproute.Snapshot{snapshot(2, 8)}, 2, none, 9},
		{"both replicas lag, another version is whole", func(_ int, a cowslipquery.Action) targetReply {
			if a.Search.IndexVersion == 2 && a.Search.Lo == 3*shard {
				return targetReply{after: 8 * ms, outcome: cowsliptarget.WrongVersion}
			}
			return targetReply{after: 5 * ms}
		}, []cowsliproute.Snapshot{snapshot(2, 8), snapshot(1, 8)}, 1, none, 17},
		{"repartition in the middle of the query", func(_ int, a cowslipquery.Action) targetReply {
			if a.Search.IndexVersion == 1 && a.Search.Lo >= 4*shard {
				return targetReply{after: 6 * ms, outcome: cowsliptarget.WrongVersion}
			}
			return targetReply{after: 5 * ms}
		}, []cowsliproute.Snapshot{snapshot(1, 8), snapshot(2, 16)}, 2, none, 0},
		{"no other version", replyFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.WrongVersion}), []cowsliproute.Snapshot{snapshot(2, 8)}, 2, gap, 9},
		{"part late beyond the close", replyFor(3*shard, targetReply{after: time.Second}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, gap, 9},
		{"straggler hedged", replyOnceFor(3*shard, targetReply{after: time.Second}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, none, 9},
		{"shed by one replica", replyOnceFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.Shed}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, none, 9},
		{"shed by both, again and again", replyFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.Shed}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, gap, 11},
		{"failed by one replica", replyOnceFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.Failed}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, none, 9},
		{"answer of another request", replyOnceFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.Corrupt}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, none, 9},
		{"no replica answers at all", func(int, cowslipquery.Action) targetReply { return targetReply{after: time.Hour} }, []cowsliproute.Snapshot{snapshot(1, 8)}, 1, []cowslipquery.Range{{Hi: cowsliptarget.KeySpace}}, 16},
		{"no snapshot", replyOK, nil, 0, []cowslipquery.Range{{Hi: cowsliptarget.KeySpace}}, 0},
		{"crash: no part is sent again", replyFor(3*shard, targetReply{after: ms, outcome: cowsliptarget.Lost, crashed: true}), []cowsliproute.Snapshot{snapshot(1, 8)}, 1, gap, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newQueryHarness(t, c.reply, c.snapshots...)
			r := w.run(w.query())
			require.Equal(t, c.version, r.IndexVersion)
			require.Equal(t, c.missing, r.Coverage.Missing)
			if c.sent > 0 {
				require.Equal(t, c.sent, r.Sent)
			}
			requireConsistent(t, r)
			require.False(t, w.now.After(t0.Add(deadline)), "answered in time")
			requireSlotsReleased(t, w)
		})
	}
}

// requireConsistent checks that the items of an answer are exactly those of the ranges
// that it states as covered, once each and all of the stated index version.
func requireConsistent(t require.TestingT, r cowslipquery.Result) {
	covered := map[uint32]bool{}
	for k := uint32(0); k < cowsliptarget.KeySpace; k += keyStep {
		covered[k] = true
	}
	missing := 0
	for _, m := range r.Coverage.Missing {
		missing += int(m.Hi - m.Lo)
		for k := m.Lo; k < m.Hi; k += keyStep {
			delete(covered, k)
		}
	}
	require.Equal(t, float64(cowsliptarget.KeySpace-missing)/cowsliptarget.KeySpace, r.Coverage.Fraction)
	last := -1
	for _, i := range r.Items {
		require.True(t, covered[i.Key], "key %d is reported as missing", i.Key)
		require.Greater(t, int(i.Key), last, "keys must be sorted and unique")
		last = int(i.Key)
		require.Equal(t, fmt.Sprint("v", r.IndexVersion), i.Text)
	}
	require.Len(t, r.Items, len(covered))
}

// requireSlotsReleased ends the pending attempts and checks that no target has a
// request in flight.
func requireSlotsReleased(t require.TestingT, w *queryHarness) {
	for _, e := range w.pending {
		e.action.Target.Release()
	}
	w.pending = nil
	for _, a := range w.sent {
		require.Zero(t, a.Target.InFlight())
	}
}

func TestStaleViewIsGivenUpEarly(t *testing.T) {
	w := newQueryHarness(t, replyFor(0, targetReply{after: ms, outcome: cowsliptarget.WrongVersion}), snapshot(1, 8))
	r := w.run(w.query(func(o *cowslipquery.Options) { o.AcceptStale = false }))
	require.True(t, r.Stale)
	require.True(t, w.now.Before(t0.Add(deadline/2)))
}

func TestSuspectRequestMeetsOneTargetFirst(t *testing.T) {
	single := func(o *cowslipquery.Options) { o.ProbeFirst = true }
	w := newQueryHarness(t, replyOK, snapshot(1, 8))
	r := w.run(w.query(single))
	require.Empty(t, r.Coverage.Missing)
	w = newQueryHarness(t, func(int, cowslipquery.Action) targetReply {
		return targetReply{after: ms, outcome: cowsliptarget.Lost, crashed: true}
	}, snapshot(1, 8))
	r = w.run(w.query(single))
	require.Len(t, w.sent, 1)
	require.True(t, r.Crashed)
}

// If the preferred version has no free slots, a query must use the fallback version
// instead of waiting.
func TestPreferredVersionWithoutRoom(t *testing.T) {
	s := snapshot(1, 8)
	for i := range s.Shards {
		x := target(fmt.Sprint("new", i), "cerro", "v2")
		x.SetLimit(0)
		s.Shards[i].Replicas = append(s.Shards[i].Replicas, x)
	}
	w := newQueryHarness(t, replyOK, s)
	r := w.run(w.query(func(o *cowslipquery.Options) {
		o.Versions = cowsliproute.VersionPreference{Preferred: cowsliproute.OnlyVersion("v2"), Fallback: cowsliproute.OnlyVersion("v1"), HasFallback: true}
	}))
	require.Empty(t, r.Coverage.Missing)
}

// A hedge that finds the other replica busy is retried, not dropped.
func TestHedgeWaitsForAnIdleReplica(t *testing.T) {
	s := snapshot(1, 8)
	s.Shards[3].Replicas[1].SetLoad(2)
	s.Shards[3].Replicas[0].SetLoad(1)
	w := newQueryHarness(t, nil, s)
	w.reply = func(n int, a cowslipquery.Action) targetReply {
		if a.Target == s.Shards[3].Replicas[0] {
			return targetReply{after: time.Second}
		}
		if n == 7 {
			s.Shards[3].Replicas[1].SetLoad(0)
		}
		return targetReply{after: 30 * ms}
	}
	busy := func(o *cowslipquery.Options) { o.QueryText = "x" }
	q := w.query(busy)
	r := w.run(q)
	require.Empty(t, r.Coverage.Missing)
	require.True(t, w.now.Before(t0.Add(deadline/2)))
}

func TestOwnFailureDomainOnlyWhileNotConfirmed(t *testing.T) {
	w := newQueryHarness(t, replyOK, snapshot(1, 8))
	f := &cowsliproute.Freshness{}
	f.Set(t0, t0.Add(time.Hour), t0)
	w.view = cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro", Freshness: f})
	r := w.run(w.query())
	require.True(t, r.OwnDomainOnly)
	require.Empty(t, r.Coverage.Missing)
	for _, a := range w.sent {
		require.Equal(t, "cerro", a.Target.Info().FailureDomain)
	}
}

func TestNothingIsSentAfterStandingStill(t *testing.T) {
	w := newQueryHarness(t, replyOK, snapshot(1, 8))
	f := &cowsliproute.Freshness{}
	f.Set(t0.Add(time.Hour), t0, t0)
	w.view = cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro", Freshness: f})
	r := w.run(w.query())
	require.Empty(t, w.sent)
	require.Zero(t, r.Coverage.Fraction)
}
