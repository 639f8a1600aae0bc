package cowslipentry

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	clocktesting "k8s.io/utils/clock/testing"
)

// waitLimit limits each wait of a test. It checks no speed.
const waitLimit = 20 * time.Second

func listen(t *testing.T) net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l
}

// newStillEntry returns an instance whose clock stands still and whose loops do not run,
// except the one that owns the control state.
func newStillEntry(t *testing.T, id string, s *cowslipplatform.Store, seeds ...string) (*Entry, *clocktesting.FakeClock) {
	return newStillEntryAt(t, id, s, time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC), seeds...)
}

func newStillEntryAt(t *testing.T, id string, s *cowslipplatform.Store, now time.Time, seeds ...string) (*Entry, *clocktesting.FakeClock) {
	return newStillEntryWith(t, Options{ID: id, Store: s, Seeds: seeds}, now)
}

func newStillEntryWith(t *testing.T, o Options, now time.Time) (*Entry, *clocktesting.FakeClock) {
	c := clocktesting.NewFakeClock(now)
	o.FailureDomain, o.Callers, o.Operators, o.Peers, o.Clock, o.Log = "cerro", listen(t), listen(t), listen(t), c, slog.New(slog.DiscardHandler)
	e, err := New(o)
	require.NoError(t, err)
	go e.controlLoop()
	t.Cleanup(func() {
		e.cancel()
		e.background.Wait()
		<-e.loopDone
		for _, l := range []net.Listener{o.Callers, o.Operators, o.Peers} {
			l.Close()
		}
	})
	return e, c
}

// Pattern: immediate gossip. A request has crashed a target while an exchange with a
// peer is in flight, which carries the state from before. The peer must hear of the
// crash right after that exchange, and not only when the next one is due: it may be the
// next to receive the same request.
func TestCrashIsToldAfterTheExchangeInFlight(t *testing.T) {
	received, release := make(chan *cowslipmessage.State), make(chan bool)
	p := &cowslippeer.Server{OnExchange: func(ctx context.Context, m *cowslipmessage.State) (*cowslipmessage.State, error) {
		select {
		case received <- m:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		select {
		case <-release:
		case <-ctx.Done():
		}
		return &cowslipmessage.State{Id: "e2"}, nil
	}}
	l := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error)
	go func() { served <- p.Serve(ctx, l) }()
	defer func() {
		cancel()
		<-served
	}()
	e, clock := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"), l.Addr().String())
	e.background.Go(func() { e.exchangeLoop(e.peerAddrs) })

	require.Empty(t, (<-received).GetCrashes())
	_, err := e.onExchange(ctx, &cowslipmessage.State{Id: "e3", Crashes: []*cowslipmessage.Crash{{Fingerprint: 7, Incident: "i", Death: "h0/run1"}}, Stops: []*cowslipmessage.Stop{{Move: "m"}}})
	require.NoError(t, err)
	require.Eventually(t, clock.HasWaiters, waitLimit, time.Millisecond)
	clock.Step(tickInterval)
	require.Eventually(t, func() bool { return e.metrics.ticks.Value() > 0 && len(e.exchangeNow) == 0 }, waitLimit, time.Millisecond)
	release <- true
	select {
	case m := <-received:
		require.Len(t, m.GetCrashes(), 1)
	case <-time.After(waitLimit):
		t.Fatal("the peer was not told, and the clock stands still")
	}
}

// Pattern: register, then list. Two instances start at the same time, and each has read
// the list of instances before the other is on it. They must not stay unknown to each
// other until the next periodic read: what crashes targets at one would crash them at the
// other, too.
func TestInstancesThatStartTogetherFindEachOther(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	var all []*Entry
	read := make(chan bool, 100)
	for _, id := range []string{"e1", "e2"} {
		s := p.Store(id)
		list := s.List
		s.List = func(ctx context.Context, prefix string) ([]cowslipplatform.Value, error) {
			l, err := list(ctx, prefix)
			read <- true
			return l, err
		}
		e, _ := newStillEntry(t, id, s)
		e.background.Go(e.listLoop)
		<-read
		all = append(all, e)
	}
	for _, e := range all {
		e.background.Go(e.leaseLoop)
	}
	require.Eventually(t, func() bool {
		n := 0
		for _, e := range all {
			e.do(func(_ time.Time, c *cowslipcontrol.Control) { n += len(c.Peers()) })
		}
		return n > 0
	}, waitLimit, time.Millisecond)
}

// A target crashes under a request and is up again before its end is handled, and a probe
// has already found the new run. The crash is one of the run that got the request.
func TestCrashOfATargetThatIsUpAgain(t *testing.T) {
	x, err := cowslipstandin.StartTarget("127.0.0.1:0", cowslipstandin.TargetOptions{ID: "h0", Service: "households", Version: "v1"})
	require.NoError(t, err)
	defer x.Kill()
	e, _ := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"))
	g := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: "h0", Addr: x.Addr()})
	current := func() string {
		r, o := e.client.Status(t.Context(), x.Addr())
		require.Equal(t, cowsliptarget.OK, o)
		return r.Incarnation
	}
	first := current()
	require.NoError(t, x.Restart(0))
	g.SetIncarnation(current())
	for _, c := range []struct {
		sentTo  string
		crashed bool
	}{{first, true}, {current(), false}} {
		s := cowslipcontrol.Sample{Target: g, Outcome: cowsliptarget.Lost}
		k := e.finishAttempt(t.Context(), &s, c.sentTo, 7, "incident")
		require.Equal(t, c.crashed, k != nil)
		if c.crashed {
			require.Equal(t, first, k.Incarnation)
		}
	}
}
