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

// newWarmBench returns a bench with one target whose warm-up is over.
func newWarmBench(t *testing.T) *bench {
	b := newBench(t, "e1", "cerro")
	b.c.Stored(b.now, accepted(t, 1, text(time.Time{})))
	b.addTarget("d0", "diaries", "cerro", "v1")
	b.report("d0", "run1")
	b.advance(t0.Add(11 * time.Second))
	require.Equal(t, 2, b.target("d0").Limit())
	return b
}

// A target that restarts after its connection ended must receive no requests under its
// old limit before the next tick has set its warm-up limit.
func TestHoldLastsUntilTheLimitIsSet(t *testing.T) {
	b := newWarmBench(t)
	h := b.target("d0")
	h.Suspend()
	b.c.Reported(b.now, h, cowsliptarget.Report{Incarnation: "run2"}, h.Suspension())
	require.False(t, h.Acquire(), "the warm-up limit is not set yet")
	b.tick()
	require.Equal(t, 1, h.Limit())
	require.True(t, h.Acquire())
}

// Scenario: a target restarts while this instance has no connection to it, so no lost
// connection stops requests to it. Whether a response or a peer reports the new
// incarnation, nothing may be sent under the limit of the previous one.
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
			require.False(t, h.Acquire(), "the warm-up limit is not set yet")
			require.Equal(t, "run2", h.Incarnation())
			b.tick()
			require.LessOrEqual(t, h.Limit(), 1)
		})
	}
}

// A report that was requested before the connection ended must not end the hold, since
// the target may have restarted afterwards.
func TestReportFromBeforeTheHold(t *testing.T) {
	b := newWarmBench(t)
	h := b.target("d0")
	asked := h.Suspension()
	h.Suspend()
	b.c.Reported(b.now, h, cowsliptarget.Report{Incarnation: "run1"}, asked)
	b.tick()
	require.False(t, h.Acquire())
}

// Requests abandoned before a byte was sent, such as hedges no longer needed while
// their connection was opening, must not eject a target. Refused connections must.
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

// Scenario: an ejected target restarts. Ejection and latency of the previous
// incarnation must not apply to the new one, which must be tried at once.
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
	require.Equal(t, 1, h.Limit(), "the warm-up limit")
	require.Zero(t, h.Latency())
}
