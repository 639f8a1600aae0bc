package cowslipconn_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"cowslipflow/cowslipconn"

	"github.com/stretchr/testify/require"
)

// named is a connection in tests of the account alone.
type named string

func (named) Close() error { return nil }

// ledger drives an account and remembers which connections it closed.
type ledger struct {
	*cowslipconn.Account
	t       *testing.T
	now     time.Time
	charges map[string]*cowslipconn.Charge
	closed  []string
}

func newLedger(t *testing.T, l cowslipconn.Limits) *ledger {
	return &ledger{Account: cowslipconn.NewAccount(l), t: t, now: time.Unix(0, 0), charges: map[string]*cowslipconn.Charge{}}
}

func (l *ledger) note(x []io.Closer) {
	for _, c := range x {
		l.closed = append(l.closed, string(c.(named)))
	}
}

// open opens a connection and reports whether it was accepted.
func (l *ledger) open(name, addr string) bool {
	c, x := l.Open(l.now, addr, named(name))
	l.note(x)
	l.charges[name] = c
	return c != nil
}

func (l *ledger) read(name string, n int64) bool {
	ok, x := l.Read(l.now, l.charges[name], n)
	l.note(x)
	return ok
}

func (l *ledger) begin(name string) cowslipconn.Decision { return l.Begin(l.charges[name]) }

func (l *ledger) serve(name string) {
	require.Equal(l.t, cowslipconn.Admitted, l.begin(name))
	l.End(l.now, l.charges[name])
}

func (l *ledger) wait(d time.Duration) { l.now = l.now.Add(d) }

// Guards against a wrong choice of the connections to close: an ordinary caller's connection
// instead of one that holds much, or has held it for long, or comes from the address that
// holds the most.
func TestConnsToClose(t *testing.T) {
	for _, c := range []struct {
		name   string
		limits cowslipconn.Limits
		course func(l *ledger)
		want   []string
	}{
		{"none within the limits", cowslipconn.Limits{Bytes: 1000, Conns: 10, Base: 100}, func(l *ledger) {
			for i := range 10 {
				l.open(fmt.Sprint(i), "a")
			}
		}, nil},
		{"what has held the most for the longest", cowslipconn.Limits{Bytes: 1600, Base: 100}, func(l *ledger) {
			l.open("old", "a")
			l.wait(time.Second)
			l.open("large", "a")
			l.read("large", 300)
			l.wait(time.Second)
			for i := range 12 {
				l.open(fmt.Sprint(i), "a")
			}
		}, []string{"large"}},
		{"one that holds much before those of another address", cowslipconn.Limits{Bytes: 1600, Base: 100}, func(l *ledger) {
			for i := range 12 {
				l.open(fmt.Sprint(i), fmt.Sprint("address", i))
			}
			l.wait(time.Minute)
			l.open("large", "a")
			l.read("large", 200)
			l.wait(time.Second)
			l.read("large", 90)
			l.wait(time.Second)
			l.open("new", "b")
			l.open("new too", "c")
		}, []string{"large"}},
		{"number", cowslipconn.Limits{Conns: 16, Base: 100}, func(l *ledger) {
			for i := range 17 {
				l.open(fmt.Sprint(i), "a")
				l.wait(time.Second)
			}
		}, []string{"0", "1"}},
		{"not the new one", cowslipconn.Limits{Conns: 1, Base: 100}, func(l *ledger) {
			l.open("old", "a")
			l.open("new", "a")
		}, []string{"old"}},
		{"idle between requests before half a request", cowslipconn.Limits{Conns: 2}, func(l *ledger) {
			l.open("served", "a")
			l.serve("served")
			l.wait(time.Second)
			l.open("half", "a")
			l.read("half", 10)
			l.wait(time.Second)
			l.open("new", "a")
		}, []string{"half"}},
		{"address that holds the most", cowslipconn.Limits{Conns: 16}, func(l *ledger) {
			l.open("ordinary", "b")
			l.wait(time.Minute)
			for i := range 50 {
				l.open(fmt.Sprint(i), "a")
			}
			l.closed = l.closed[:0]
			l.open("new", "a")
			l.wait(time.Second)
			for _, n := range l.closed {
				if n == "ordinary" {
					l.t.Error("a crowd from one address displaces another")
				}
			}
			l.closed = nil
		}, nil},
		{"no request in progress", cowslipconn.Limits{Conns: 17}, func(l *ledger) {
			l.open("running", "a")
			l.begin("running")
			l.wait(time.Hour)
			for i := range 17 {
				l.open(fmt.Sprint(i), "b")
				l.wait(time.Second)
			}
		}, []string{"0", "1"}},
		{"no answer that is being written", cowslipconn.Limits{Conns: 17}, func(l *ledger) {
			l.open("writing", "a")
			l.note(l.Write(l.now, l.charges["writing"], 0))
			l.wait(time.Hour)
			for i := range 17 {
				l.open(fmt.Sprint(i), "b")
				l.wait(time.Second)
			}
		}, []string{"0", "1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			l := newLedger(t, c.limits)
			c.course(l)
			require.Equal(t, c.want, l.closed)
		})
	}
}

// Guards against a sum of requests in progress that leaves no room for ordinary ones, and
// against connections that are closed although their request runs.
func TestRequestsInProgressLeaveRoom(t *testing.T) {
	const limit = 1 << 20
	l := newLedger(t, cowslipconn.Limits{Bytes: limit, Conns: 1000, Base: 1000})
	large := 0
	for i := range 500 {
		n := fmt.Sprint("large", i)
		require.True(t, l.open(n, "a"))
		require.True(t, l.read(n, 20_000))
		if l.begin(n) == cowslipconn.Admitted {
			large++
		}
		l.wait(time.Millisecond)
	}
	require.Greater(t, large, 20)
	require.Less(t, l.Usage().Bytes, int64(limit+1))
	require.True(t, l.open("small", "a"))
	require.True(t, l.read("small", 500))
	require.Equal(t, cowslipconn.Admitted, l.begin("small"))
	require.Equal(t, large+1, l.Usage().Running)
	require.NotContains(t, l.closed, "small")
	for i := range 500 {
		if n := fmt.Sprint("large", i); l.charges[n] != nil {
			l.Close(l.charges[n])
		}
	}
	l.Close(l.charges["small"])
	require.Equal(t, cowslipconn.Usage{}, l.Usage())
}

// Guards against a charge that stays after its request or its connection has ended, and
// against one that is released twice.
func TestChargesEnd(t *testing.T) {
	l := newLedger(t, cowslipconn.Limits{Bytes: 1 << 20, Base: 100})
	l.open("x", "a")
	require.True(t, l.read("x", 50))
	require.Equal(t, cowslipconn.Admitted, l.begin("x"))
	require.True(t, l.read("x", 1<<30), "what a request in progress reads is counted elsewhere")
	require.Equal(t, cowslipconn.Usage{Bytes: 150, Conns: 1, Running: 1}, l.Usage())
	l.note(l.Write(l.now, l.charges["x"], 30))
	require.Equal(t, cowslipconn.Usage{Bytes: 180, Conns: 1, Running: 1}, l.Usage())
	l.End(l.now, l.charges["x"])
	require.Equal(t, cowslipconn.Usage{Bytes: 130, Conns: 1, Running: 1}, l.Usage(), "the answer is being written")
	l.Written(l.charges["x"], 30)
	require.Equal(t, cowslipconn.Usage{Bytes: 100, Conns: 1}, l.Usage())
	l.note(l.Write(l.now, l.charges["x"], 30))
	l.Close(l.charges["x"])
	require.Equal(t, cowslipconn.Usage{}, l.Usage())
	l.Written(l.charges["x"], 30)
	l.Close(l.charges["x"])
	require.Equal(t, cowslipconn.Usage{}, l.Usage())
	require.Equal(t, cowslipconn.Closed, l.begin("x"))
	require.False(t, l.read("x", 1))
	require.Empty(t, l.closed)
}

// Guards against one connection that holds most of the memory of all.
func TestOneConnHoldsAPart(t *testing.T) {
	l := newLedger(t, cowslipconn.Limits{Bytes: 4000, Base: 100})
	l.open("x", "a")
	l.open("y", "b")
	require.True(t, l.read("x", 800))
	require.False(t, l.read("x", 200))
	require.Empty(t, l.closed, "the other stays")
	require.Equal(t, cowslipconn.Usage{Bytes: 100, Conns: 1}, l.Usage())
}

// Guards against a search of all connections for each that is opened, which would cost a
// small instance its processor.
func BenchmarkOpenAtTheLimit(b *testing.B) {
	a := cowslipconn.NewAccount(cowslipconn.Limits{Conns: 1500})
	now := time.Unix(0, 0)
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		a.Open(now, fmt.Sprint(i%1000), named("x"))
	}
}
