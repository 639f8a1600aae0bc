package cowslipquery_test

import (
	"container/heap"
	"slices"
	"testing"
	"time"

	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against a probe that reaches more targets than it must: late, refused and failed ones
// lead to another one, and one that was broken off ends the request.
func TestProbesOfAWideRequest(t *testing.T) {
	lost, late, ok := targetReply{after: ms, outcome: cowsliptarget.Lost}, targetReply{after: 100 * ms}, targetReply{after: ms}
	refused, failed := targetReply{after: ms, outcome: cowsliptarget.NotSent}, targetReply{after: ms, outcome: cowsliptarget.Failed}
	lateAndLost := targetReply{after: 30 * ms, outcome: cowsliptarget.Lost}
	for _, c := range []struct {
		name      string
		probes    []targetReply
		sent      []int // parts, in order
		cancelled int
		notRun    bool
	}{
		{"answered", []targetReply{ok}, []int{2, 0, 1, 3}, 0, false},
		{"broken off", []targetReply{lost}, []int{2}, 0, false},
		{"late, then the other is answered", []targetReply{late, ok}, []int{2, 1, 0, 3, 2}, 0, false},
		{"late, then the other is broken off", []targetReply{late, lost}, []int{2, 1}, 1, false},
		{"late, then broken off while the other is late", []targetReply{lateAndLost, late}, []int{2, 1}, 1, false},
		{"refused by all replicas of one shard", []targetReply{refused, refused, ok}, []int{2, 2, 1, 0, 3}, 0, false},
		{"refused by all", []targetReply{refused, refused, refused, refused}, []int{2, 2, 1, 1}, 0, true},
		{"failed by one shard", []targetReply{failed, failed, ok}, []int{2, 2, 1, 0, 3}, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newDispatchHarness(t, 4, 5, func(n int, _ cowslipquery.DispatchAction) targetReply {
				if n < len(c.probes) {
					return c.probes[n]
				}
				return targetReply{after: ms}
			}, func(o *cowslipquery.DispatchOptions) {
				o.Probes, o.HedgeProbe, o.Alert, o.HoldLost, o.MinParts = []int{2, 1}, true, true, true, 3
				o.KeepLosers = true
			})
			x.run()
			var parts []int
			for _, a := range x.sent {
				parts = append(parts, a.Part)
			}
			require.Equal(t, c.sent, parts)
			require.Len(t, x.cancelled, c.cancelled)
			require.Equal(t, c.notRun, x.dispatch.NotRun())
		})
	}
}

// Guards against a wide request that goes on after it has crashed targets: without an answer, the
// second crash ends it, or the first one in an alert.
func TestCrashesEndAWideRequest(t *testing.T) {
	for _, c := range []struct {
		name      string
		alert     bool
		outcomes  []cowsliptarget.Outcome
		crashed   []int
		done      bool
		cancelled int
	}{
		{"one", false, []cowsliptarget.Outcome{cowsliptarget.Lost}, []int{0}, false, 0},
		{"two", false, []cowsliptarget.Outcome{cowsliptarget.Lost, cowsliptarget.Corrupt}, []int{0, 1}, true, 18},
		{"one in an alert", true, []cowsliptarget.Outcome{cowsliptarget.Lost}, []int{0}, true, 19},
		{"two, but another target has answered", false, []cowsliptarget.Outcome{cowsliptarget.Lost, cowsliptarget.Lost, cowsliptarget.OK}, []int{0, 1}, false, 0},
		{"unexplained", true, []cowsliptarget.Outcome{cowsliptarget.Lost, cowsliptarget.Lost}, nil, false, 0},
		{"still in flight", true, nil, []int{0}, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newDispatchHarness(t, 20, 5, func(int, cowslipquery.DispatchAction) targetReply { return targetReply{after: time.Second} }, func(o *cowslipquery.DispatchOptions) {
				o.Alert, o.HoldLost, o.KeepLosers = c.alert, true, true
			})
			x.perform(x.dispatch.Start(x.now))
			for i, o := range c.outcomes {
				x.perform(x.dispatch.AttemptEnded(x.now, i, o, false))
			}
			sent := len(x.sent)
			for _, i := range c.crashed {
				x.perform(x.dispatch.TargetCrashed(x.now, i))
			}
			require.Equal(t, c.done, x.dispatch.Done())
			require.Len(t, x.cancelled, c.cancelled)
			require.Len(t, x.sent, sent)
		})
	}
}

// Whatever the order of losses, answers, time-outs and news of crashes, a request reaches no more
// targets than is promised, ends, and tells truly whether it has run.
func TestAnyCourseOfAProbedRequest(t *testing.T) {
	outcomes := []cowsliptarget.Outcome{
		cowsliptarget.OK, cowsliptarget.OK, cowsliptarget.NotSent, cowsliptarget.Shed, cowsliptarget.Leaving, cowsliptarget.Failed, cowsliptarget.Lost,
		cowsliptarget.Lost, cowsliptarget.Corrupt, cowsliptarget.Cancelled,
	}
	rapid.Check(t, func(r *rapid.T) {
		c := dispatchCourse{draw: r, ended: map[int]cowsliptarget.Outcome{}}
		parts := rapid.IntRange(1, 8).Draw(r, "parts")
		x := newDispatchHarness(t, parts, 5, func(int, cowslipquery.DispatchAction) targetReply { return targetReply{after: time.Hour} }, func(o *cowslipquery.DispatchOptions) {
			o.HoldLost, o.RetryShed = true, true
			o.KeepLosers = rapid.Bool().Draw(r, "keepLosers")
			o.Alert = rapid.Bool().Draw(r, "alert")
			o.MinParts = rapid.IntRange(1, parts).Draw(r, "minParts")
			o.PartialAt = t0.Add(deadline / 2)
			o.CapacityDeadline = o.PartialAt
			if rapid.Bool().Draw(r, "probes") {
				o.Probes = rapid.SliceOfNDistinct(rapid.IntRange(0, parts-1), 1, 2, rapid.ID[int]).Draw(r, "probeParts")
				o.HedgeProbe = rapid.Bool().Draw(r, "hedgeProbe")
			}
			c.options = *o
		})
		c.harness = x
		c.perform(x.dispatch.Start(x.now))
		for n := 0; !x.dispatch.Done(); n++ {
			require.Less(r, n, 2000, "the request does not end")
			open := c.open()
			switch k := rapid.IntRange(0, 3).Draw(r, "event"); {
			case k < 2 && len(open) > 0:
				i := rapid.SampledFrom(open).Draw(r, "attempt")
				c.end(i, rapid.SampledFrom(outcomes).Draw(r, "outcome"))
			case k == 2 && len(c.broken) > 0:
				i := rapid.IntRange(0, len(c.broken)-1).Draw(r, "crashed")
				c.crash(c.broken[i])
				c.broken = slices.Delete(c.broken, i, i+1)
			default:
				next := x.dispatch.NextTick(x.now)
				x.now = laterOf(x.now, next)
				c.perform(x.dispatch.Tick(x.now))
			}
		}
		require.Empty(r, c.violation)
		ran := len(c.open()) > 0 || len(x.cancelled) > 0
		for _, o := range c.ended {
			ran = ran || !o.NotRun()
		}
		require.Equal(r, !ran, x.dispatch.NotRun())
	})
}

// dispatchCourse drives a Dispatch and checks each thing that it sends.
type dispatchCourse struct {
	draw      *rapid.T
	harness   *dispatchHarness
	options   cowslipquery.DispatchOptions
	ended     map[int]cowsliptarget.Outcome // by attempt
	broken    []int                         // attempts that were broken off, whose targets may be found to have crashed
	answered  bool
	stopped   bool // nothing may be sent any more
	crashes   int
	violation string
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// open returns the attempts in flight.
func (c *dispatchCourse) open() []int {
	var l []int
	for i := range c.harness.sent {
		if _, ok := c.ended[i]; !ok && !slices.Contains(c.harness.cancelled, i) {
			l = append(l, i)
		}
	}
	return l
}

func (c *dispatchCourse) end(i int, o cowsliptarget.Outcome) {
	c.ended[i] = o
	c.harness.sent[i].Target.Release()
	brokenOff := o == cowsliptarget.Lost || o == cowsliptarget.Corrupt
	if brokenOff {
		c.broken = append(c.broken, i)
	}
	probing := len(c.options.Probes) > 0 && !c.answered
	c.answered = c.answered || o == cowsliptarget.OK
	c.stopped = c.stopped || probing && !o.NotRun() && o != cowsliptarget.Failed && o != cowsliptarget.OK
	c.perform(c.harness.dispatch.AttemptEnded(c.harness.now, i, o, false))
}

func (c *dispatchCourse) crash(i int) {
	c.crashes++
	c.stopped = c.stopped || !c.answered && (c.options.Alert || c.crashes >= 2)
	c.perform(c.harness.dispatch.TargetCrashed(c.harness.now, i))
	if c.stopped && !c.harness.dispatch.Done() {
		c.violation = "goes on after crashes"
	}
}

func (c *dispatchCourse) perform(l []cowslipquery.DispatchAction) {
	for _, a := range l {
		if a.Target != nil {
			c.check(a)
		}
		c.harness.perform([]cowslipquery.DispatchAction{a})
		heap.Init(&c.harness.pending)
	}
}

func (c *dispatchCourse) check(a cowslipquery.DispatchAction) {
	open, most := len(c.open()), 1
	held := false
	for i, o := range c.ended {
		b := o == cowsliptarget.Lost || o == cowsliptarget.Corrupt
		held = held || b
		if b && c.options.Alert && c.harness.sent[i].Part == a.Part {
			c.violation = "a part that was broken off is sent again in an alert"
		}
	}
	if c.options.HedgeProbe {
		most = 2
	}
	switch {
	case c.stopped:
		c.violation = "sent after the end"
	case len(c.options.Probes) > 0 && !c.answered && (!slices.Contains(c.options.Probes, a.Part) || open >= most):
		c.violation = "more than the probes is sent"
	case held && !c.answered && open > 0:
		c.violation = "sent while a loss is unexplained"
	}
}
