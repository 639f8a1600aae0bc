package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// newWarmBench has one target whose ramp is over.
func newWarmBench(t *testing.T) *bench {
	b := newBench(t, "e1", "cerro")
	b.c.Stored(b.now, accepted(t, 1, text(time.Time{})))
	b.addTarget("d0", "diaries", "cerro", "v1")
	b.report("d0", "run1")
	b.advance(t0.Add(11 * time.Second))
	require.Equal(t, 2, b.target("d0").Limit())
	return b
}

// A target whose connection ended and that answers as a new run must not
// receive by its old limit before the next tick has set that of its ramp.
func TestHoldLastsUntilTheLimitIsSet(t *testing.T) {
	b := newWarmBench(t)
	h := b.target("d0")
	h.Hold()
	b.c.Reported(b.now, h, cowsliptarget.Report{Incarnation: "run2"}, h.Held())
	require.False(t, h.Acquire(), "the limit of the run before still stands")
	b.tick()
	require.Equal(t, 1, h.Limit())
	require.True(t, h.Acquire())
}

// Load: a target that starts anew while this instance has no connection to it, so
// that nothing holds it. Whoever tells of the new run, nothing is sent by the limit of
// the run before.
func TestNewRunIsClosedUntilTheLimitIsSet(t *testing.T) {
	for _, x := range []struct {
		name string
		tell func(b *bench, h *cowsliproute.Target)
	}{
		{"an answer", func(b *bench, h *cowsliproute.Target) {
			b.c.Observe(cowslipcontrol.Sample{Target: h, Outcome: cowsliptarget.Restarted, Report: cowsliptarget.Report{Incarnation: "run2"}, At: b.now})
		}},
		{"a peer", func(b *bench, _ *cowsliproute.Target) {
			b.c.Message(b.now, time.Time{}, &cowslipmessage.State{Id: "e2", Addr: "e2:1", Targets: []*cowslipmessage.TargetRow{{Id: "d0", Incarnation: "run2"}}})
		}},
	} {
		t.Run(x.name, func(t *testing.T) {
			b := newWarmBench(t)
			h := b.target("d0")
			x.tell(b, h)
			require.False(t, h.Acquire(), "the limit of the run before still stands")
			require.Equal(t, "run2", h.Incarnation())
			b.tick()
			require.LessOrEqual(t, h.Limit(), 1)
		})
	}
}

// A report asked for before the connection ended says nothing of the run
// after.
func TestReportFromBeforeTheHold(t *testing.T) {
	b := newWarmBench(t)
	h := b.target("d0")
	asked := h.Held()
	h.Hold()
	b.c.Reported(b.now, h, cowsliptarget.Report{Incarnation: "run1"}, asked)
	b.tick()
	require.False(t, h.Acquire())
}

// Requests that were given up before a byte left, such as hedges that lost
// while their connection opened, eject no target; refused connections do.
func TestGivenUpRequestsEjectNothing(t *testing.T) {
	b := newWarmBench(t)
	h := b.target("d0")
	observe := func(givenUp bool) {
		for range 3 {
			b.c.Observe(cowslipcontrol.Sample{Target: h, Outcome: cowsliptarget.NotSent, GivenUp: givenUp, At: b.now})
		}
		b.tick()
	}
	observe(true)
	require.NotContains(t, b.events, "targetEjected d0")
	observe(false)
	require.Contains(t, b.events, "targetEjected d0")
}

// Load: a target that failed its requests and starts anew. What was known of the
// run before says nothing of the new one, which is tried at once.
func TestRestartedTargetIsJudgedAnew(t *testing.T) {
	b := newWarmBench(t)
	b.addTarget("x0", "diaries", "plan", "v1")
	b.report("x0", "run1")
	b.advance(b.now.Add(11 * time.Second))
	h := b.target("d0")
	h.ObserveLatency(time.Second)
	for range 3 {
		b.c.Observe(cowslipcontrol.Sample{Target: h, Outcome: cowsliptarget.Lost, At: b.now})
	}
	b.tick()
	require.Zero(t, h.Limit())
	b.report("d0", "run2")
	b.tick()
	require.Equal(t, 1, h.Limit(), "what it bears while it is cold")
	require.Zero(t, h.Latency())
}
