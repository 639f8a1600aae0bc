package cowslipquery_test

import (
	"bytes"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// dispatchHarness drives a Dispatch on a virtual clock. Its reply function returns the
// target's answer to the nth request.
type dispatchHarness struct {
	dispatch  *cowslipquery.Dispatch
	now       time.Time
	reply     func(n int, o cowslipquery.DispatchAction) targetReply
	sent      []cowslipquery.DispatchAction
	cancelled []int
	pending   endQueue
}

func (x *dispatchHarness) perform(l []cowslipquery.DispatchAction) {
	for _, o := range l {
		if o.Target == nil {
			x.cancelled = append(x.cancelled, o.Attempt)
			x.pending = slices.DeleteFunc(x.pending, func(e attemptEnd) bool { return e.attempt == o.Attempt })
			heap.Init(&x.pending)
			continue
		}
		r := x.reply(len(x.sent), o)
		x.sent = append(x.sent, o)
		heap.Push(&x.pending, attemptEnd{at: x.now.Add(r.after), attempt: o.Attempt, reply: r})
	}
}

func (x *dispatchHarness) run() {
	x.perform(x.dispatch.Start(x.now))
	for !x.dispatch.Done() {
		n := x.dispatch.NextTick(x.now)
		if len(x.pending) > 0 && !x.pending[0].at.After(n) {
			e := heap.Pop(&x.pending).(attemptEnd)
			x.now = e.at
			x.sent[e.attempt].Target.Release()
			x.perform(x.dispatch.AttemptEnded(x.now, e.attempt, e.reply.outcome, false))
			continue
		}
		x.now = n
		x.perform(x.dispatch.Tick(x.now))
	}
}

// newDispatchHarness returns a harness for a Dispatch with two replicas for each part.
func newDispatchHarness(t *testing.T, parts, retries int, f func(n int, o cowslipquery.DispatchAction) targetReply, change func(o *cowslipquery.DispatchOptions)) *dispatchHarness {
	c, err := cowslipconfig.Parse([]byte("[[failureDomains]]\nname='a'\n[[services]]\nname='s'\nkind='narrow'\n"))
	require.NoError(t, err)
	s, _ := c.Service("s")
	o := cowslipquery.DispatchOptions{
		View: cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "a"}), CloseAt: t0.Add(deadline), HedgeAfter: 20 * ms, MaxAttempts: 2, Rand: rand.New(rand.NewPCG(1, 2)),
	}
	for i := range parts {
		b := &cowsliproute.Budget{}
		b.Earn(float64(retries))
		o.Parts = append(o.Parts, cowslipquery.DispatchPart{
			Service:  cowsliproute.NewService(cowsliproute.ServiceOptions{Config: s, Budget: b}),
			Replicas: []*cowsliproute.Target{target(fmt.Sprint(i, "a"), "a", "v1"), target(fmt.Sprint(i, "b"), "b", "v1")},
		})
	}
	change(&o)
	return &dispatchHarness{dispatch: cowslipquery.NewDispatch(o), now: t0, reply: f}
}

func TestCourse(t *testing.T) {
	in := func(d time.Duration, o cowsliptarget.Outcome) func(int, cowslipquery.DispatchAction) targetReply {
		return func(int, cowslipquery.DispatchAction) targetReply { return targetReply{after: d, outcome: o} }
	}
	first := func(a, b targetReply) func(int, cowslipquery.DispatchAction) targetReply {
		return func(n int, _ cowslipquery.DispatchAction) targetReply {
			if n == 0 {
				return a
			}
			return b
		}
	}
	good := targetReply{after: 5 * ms}
	once := func(o *cowslipquery.DispatchOptions) { o.AtMostOnce = true }
	retryShed := func(o *cowslipquery.DispatchOptions) { o.RetryShed, o.CapacityDeadline = true, t0.Add(84*ms) }
	plain := func(*cowslipquery.DispatchOptions) {}
	for _, c := range []struct {
		name    string
		parts   int
		retries int
		reply   func(int, cowslipquery.DispatchAction) targetReply
		change  func(*cowslipquery.DispatchOptions)
		missing int
		sent    int
		took    time.Duration
		notRun  bool
	}{
		{"one at most: lost is final", 1, 5, in(ms, cowsliptarget.Lost), once, 1, 1, ms, false},
		{"one at most: failed is final", 1, 5, in(ms, cowsliptarget.Failed), once, 1, 1, ms, false},
		{"one at most: never hedged", 1, 5, in(90*ms, cowsliptarget.OK), once, 0, 1, 90 * ms, false},
		{"one at most: not run is sent again", 1, 5, first(targetReply{after: ms, outcome: cowsliptarget.Shed}, good), once, 0, 2, 6 * ms, false},
		{"shed by all is not run", 1, 5, in(ms, cowsliptarget.Shed), once, 1, 2, 2 * ms, true},
		{"shed by all for a moment is asked again", 2, 5, func(n int, o cowslipquery.DispatchAction) targetReply {
			if o.Part == 0 && n < 3 {
				return targetReply{after: ms, outcome: cowsliptarget.Shed}
			}
			return good
		}, retryShed, 0, 4, 27*ms + 500*time.Microsecond, false},
		{"shed by all is asked again once", 2, 5, func(_ int, o cowslipquery.DispatchAction) targetReply {
			if o.Part == 0 {
				return targetReply{after: ms, outcome: cowsliptarget.Shed}
			}
			return good
		}, retryShed, 1, 5, 24*ms + 500*time.Microsecond, false},
		{"shed by all is not asked again without budget", 2, 1, func(_ int, o cowslipquery.DispatchAction) targetReply {
			if o.Part == 0 {
				return targetReply{after: ms, outcome: cowsliptarget.Shed}
			}
			return good
		}, retryShed, 1, 3, 5 * ms, false},
		{"no connection is free of budget", 1, 0, first(targetReply{after: ms, outcome: cowsliptarget.NotSent}, good), plain, 0, 2, 6 * ms, false},
		{"a failure draws on the budget", 1, 0, first(targetReply{after: ms, outcome: cowsliptarget.Failed}, good), plain, 1, 1, ms, false},
		{"a failure is tried at another replica", 1, 5, first(targetReply{after: ms, outcome: cowsliptarget.Failed}, good), plain, 0, 2, 6 * ms, false},
		{"no more replicas than attempts allow", 1, 5, in(ms, cowsliptarget.Failed), func(o *cowslipquery.DispatchOptions) { o.MaxAttempts = 1 }, 1, 1, ms, false},
		{"no hedge where attempts allow one", 1, 5, in(90*ms, cowsliptarget.OK), func(o *cowslipquery.DispatchOptions) { o.MaxAttempts = 1 }, 0, 1, 90 * ms, false},
		{"enough at the latency target", 10, 0, func(_ int, o cowslipquery.DispatchAction) targetReply {
			if o.Part == 3 {
				return targetReply{after: 300 * ms}
			}
			return good
		}, func(o *cowslipquery.DispatchOptions) { o.PartialAt, o.MinParts = t0.Add(90*ms), 9 }, 1, 10, 90 * ms, false},
		{"too few at the latency target: closes once enough", 10, 0, func(_ int, o cowslipquery.DispatchAction) targetReply {
			return targetReply{after: time.Duration(o.Part+1) * 20 * ms}
		}, func(o *cowslipquery.DispatchOptions) { o.PartialAt, o.MinParts = t0.Add(90*ms), 9 }, 1, 10, 180 * ms, false},
		{"hopeless closes at once", 10, 0, func(_ int, o cowslipquery.DispatchAction) targetReply {
			if o.Part < 2 {
				return targetReply{after: ms, outcome: cowsliptarget.Lost}
			}
			return targetReply{after: 80 * ms}
		}, func(o *cowslipquery.DispatchOptions) { o.PartialAt, o.MinParts = t0.Add(90*ms), 9 }, 10, 10, ms, false},
		{"no room is given up in time", 1, 5, in(ms, cowsliptarget.OK), func(o *cowslipquery.DispatchOptions) {
			for _, x := range o.Parts[0].Replicas {
				x.SetLimit(0)
			}
			o.CapacityDeadline = t0.Add(30 * ms)
		}, 1, 0, 30 * ms, true},
		{"nothing is sent once the time is over", 2, 5, in(ms, cowsliptarget.OK), func(o *cowslipquery.DispatchOptions) { o.CloseAt = t0 }, 2, 0, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newDispatchHarness(t, c.parts, c.retries, c.reply, c.change)
			x.run()
			missing := 0
			for i := range c.parts {
				if x.dispatch.Winner(i) < 0 {
					missing++
				}
			}
			require.Equal(t, c.missing, missing)
			require.Len(t, x.sent, c.sent)
			require.Equal(t, c.took, x.now.Sub(t0))
			require.Equal(t, c.notRun, x.dispatch.NotRun())
		})
	}
}

// With a paused replica, the hedge wins. With KeepLosers the slower request is not
// cancelled, so that its connection stays open.
func TestLosersOfHedges(t *testing.T) {
	for _, keep := range []bool{true, false} {
		x := newDispatchHarness(t, 1, 5, func(n int, _ cowslipquery.DispatchAction) targetReply {
			return []targetReply{{after: 120 * ms}, {after: 5 * ms}}[n]
		}, func(o *cowslipquery.DispatchOptions) { o.KeepLosers = keep })
		x.run()
		require.Equal(t, 25*ms, x.now.Sub(t0))
		require.Equal(t, 1, x.dispatch.Winner(0))
		require.Equal(t, !keep, slices.Contains(x.cancelled, 0))
	}
}

// Guards against hedges that are lost on busy instances during wide queries: an
// answer that is handled just when a hedge becomes due must not suppress it.
func TestHedgeIsSentThoughAnAnswerCameWhenItWasDue(t *testing.T) {
	x := newDispatchHarness(t, 2, 5, func(n int, _ cowslipquery.DispatchAction) targetReply {
		return []targetReply{{after: 20 * ms}, {after: 120 * ms}, {after: 5 * ms}}[n]
	}, func(*cowslipquery.DispatchOptions) {})
	x.run()
	require.Len(t, x.sent, 3)
	require.Equal(t, 25*ms, x.now.Sub(t0))
}

// A request that has crashed a target before is sent to a single target first. If that one
// refuses it or fails without a crash, another one is asked at once; if it may have
// crashed, the answer closes at once and spares the others.
func TestProbes(t *testing.T) {
	for _, c := range []struct {
		first cowsliptarget.Outcome
		sent  int
		took  time.Duration
	}{
		{cowsliptarget.OK, 3, 6 * ms},
		{cowsliptarget.NotSent, 4, 7 * ms},
		{cowsliptarget.Shed, 4, 7 * ms},
		{cowsliptarget.Leaving, 4, 7 * ms},
		{cowsliptarget.Failed, 4, 7 * ms},
		{cowsliptarget.Lost, 1, 1 * ms},
		{cowsliptarget.Corrupt, 1, 1 * ms},
	} {
		t.Run(c.first.String(), func(t *testing.T) {
			most := 0
			var x *dispatchHarness
			x = newDispatchHarness(t, 3, 5, func(n int, _ cowslipquery.DispatchAction) targetReply {
				most = max(most, len(x.pending)+1)
				switch {
				case n == 0:
					return targetReply{after: ms, outcome: c.first}
				case n == 1 && c.sent == 4:
					require.Empty(t, x.pending, "one request at a time until one is answered")
					return targetReply{after: ms}
				}
				return targetReply{after: 5 * ms}
			}, func(o *cowslipquery.DispatchOptions) { o.Probes = []int{0} })
			x.run()
			require.Len(t, x.sent, c.sent)
			require.Equal(t, c.took, x.now.Sub(t0))
		})
	}
}

// The count of shed requests tells the limiter about overload, so that it must hold also
// those whose part another replica answered or that could not be sent again.
func TestAllShedRequestsCount(t *testing.T) {
	shed := targetReply{after: 25 * ms, outcome: cowsliptarget.Shed}
	for _, c := range []struct {
		name    string
		replies []targetReply
		change  func(*cowslipquery.DispatchOptions)
		shed    int
	}{
		{"no retry is left", []targetReply{shed}, func(o *cowslipquery.DispatchOptions) {
			o.AtMostOnce = true
			o.Parts[0].Replicas = o.Parts[0].Replicas[:1]
		}, 1},
		{"another request is in flight", []targetReply{shed, {after: 15 * ms}}, func(*cowslipquery.DispatchOptions) {}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newDispatchHarness(t, 1, 5, func(n int, _ cowslipquery.DispatchAction) targetReply { return c.replies[n] }, c.change)
			x.run()
			require.Equal(t, c.shed, x.dispatch.Shed())
		})
	}
}

func TestMergeTop(t *testing.T) {
	r := func(s string) string { return fmt.Sprintf("%-16s", s) }
	for _, c := range []struct {
		name  string
		parts []string
		top   int
		want  string
	}{
		{"none", nil, 5, ""},
		{"greatest first over parts", []string{r("a") + r("d"), r("c") + r("b")}, 3, r("d") + r("c") + r("b")},
		{"equal records all count", []string{r("a"), r("a")}, 5, r("a") + r("a")},
		{"a remainder is no record", []string{r("a") + "zzzz"}, 5, r("a")},
		{"top of none", []string{r("a")}, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			var l [][]byte
			for _, p := range c.parts {
				l = append(l, []byte(p))
			}
			require.Equal(t, c.want, string(cowslipquery.MergeTop(l, c.top)))
		})
	}
}

// On an instance that is short of CPU, all parts are late at once. Hedging all of
// them would double its work, so MaxHedges limits the hedges.
func TestHedgesAreFewWhereAllPartsAreLate(t *testing.T) {
	x := newDispatchHarness(t, 40, 5, func(int, cowslipquery.DispatchAction) targetReply { return targetReply{after: 60 * ms} }, func(o *cowslipquery.DispatchOptions) { o.MaxHedges = 10 })
	x.run()
	require.Len(t, x.sent, 50)
	require.Equal(t, 60*ms, x.now.Sub(t0))
}

// MergeTop returns the same records as a sort of all records.
func TestMergeTopAgreesWithSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange('a', 'c'), 0, 200), 0, 6).Draw(t, "parts")
		top := rapid.IntRange(0, 12).Draw(t, "top")
		var all [][]byte
		for _, p := range parts {
			for ; len(p) >= cowslipquery.RecordSize; p = p[cowslipquery.RecordSize:] {
				all = append(all, p[:cowslipquery.RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		if !bytes.Equal(bytes.Join(all[:min(top, len(all))], nil), cowslipquery.MergeTop(parts, top)) {
			t.Fatal("MergeTop differs from sorting all records")
		}
	})
}

// Retries are needed most when replicas shed most of their requests, sometimes both
// replicas of a shard. The budget must therefore grow with the requests sent, not
// with those answered.
func TestBudgetGrowsWhileTargetsShed(t *testing.T) {
	b := &cowsliproute.Budget{}
	c, err := cowslipconfig.Parse([]byte("[[failureDomains]]\nname='a'\n[[services]]\nname='s'\nkind='narrow'\nextraLoad=0.2\n"))
	require.NoError(t, err)
	s, _ := c.Service("s")
	sent := 0
	for range 100 {
		x := newDispatchHarness(t, 1, 0, func(int, cowslipquery.DispatchAction) targetReply {
			return targetReply{after: ms, outcome: cowsliptarget.Shed}
		}, func(o *cowslipquery.DispatchOptions) {
			o.Parts[0].Service = cowsliproute.NewService(cowsliproute.ServiceOptions{Config: s, Budget: b})
		})
		x.run()
		sent += len(x.sent)
	}
	require.InDelta(t, 120, sent, 1)
}
