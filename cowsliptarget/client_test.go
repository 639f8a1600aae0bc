package cowsliptarget_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// handler serves one connection to a raw target.
type handler func(n net.Conn)

// startRawTarget starts a target that passes each connection to h, and returns
// its address.
func startRawTarget(t *testing.T, h handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			n, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer n.Close()
				h(n)
			}()
		}
	}()
	return l.Addr().String()
}

// readRequest reads one request.
func readRequest(n net.Conn) {
	if r, err := http.ReadRequest(bufio.NewReader(n)); err == nil {
		io.Copy(io.Discard, r.Body)
	}
}

func respondWith(status, body string) handler {
	return func(n net.Conn) {
		readRequest(n)
		io.WriteString(n, "HTTP/1.1 "+status+"\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
	}
}

// An outcome means "not run" only if no byte of the request was sent or the
// target itself refused this request.
func TestOutcomes(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	cases := []struct {
		name string
		addr string
		want cowsliptarget.Outcome
	}{
		{"refused connection", closed.Addr().String(), cowsliptarget.NotSent},
		{"reset after the request", startRawTarget(t, func(n net.Conn) { readRequest(n); n.(*net.TCPConn).SetLinger(0) }), cowsliptarget.Lost},
		{"closed in the middle of the request", startRawTarget(t, func(n net.Conn) { n.Read(make([]byte, 8)) }), cowsliptarget.Lost},
		{"shed", startRawTarget(t, respondWith("503 Busy", `{"id":"q.1","code":"shed"}`)), cowsliptarget.Shed},
		{"leaving", startRawTarget(t, respondWith("503 Busy", `{"id":"q.1","code":"leaving"}`)), cowsliptarget.Leaving},
		{"expired in the queue", startRawTarget(t, respondWith("503 Busy", `{"id":"q.1","code":"expired"}`)), cowsliptarget.Expired},
		{"shed, but another request", startRawTarget(t, respondWith("503 Busy", `{"id":"q.0","code":"shed"}`)), cowsliptarget.Corrupt},
		{"a proxy's bare 503", startRawTarget(t, respondWith("503 Busy", `busy`)), cowsliptarget.Corrupt},
		{"failed", startRawTarget(t, respondWith("500 Failed", `{"id":"q.1","code":"failed"}`)), cowsliptarget.Failed},
		{"failed without a body", startRawTarget(t, respondWith("500 Failed", ``)), cowsliptarget.Failed},
		{"no JSON", startRawTarget(t, respondWith("200 OK", `{"id":`)), cowsliptarget.Corrupt},
		{"answer cut off", startRawTarget(t, func(n net.Conn) {
			readRequest(n)
			io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
		}), cowsliptarget.Lost},
	}
	// Close the listener last, so that no other case is assigned its port.
	closed.Close()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			k := cowsliptarget.NewClient(cowsliptarget.Options{})
			defer k.Close()
			_, _, o := k.Record(t.Context(), c.addr, cowsliptarget.Record{ID: "q.1", Body: "x"})
			require.Equal(t, c.want, o, o.String())
		})
	}
}

func TestCancelledBeforeAndAfterTheRequestLeft(t *testing.T) {
	k := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer k.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	got := make(chan bool, 1)
	a := startRawTarget(t, func(n net.Conn) {
		readRequest(n)
		got <- true
		io.Copy(io.Discard, n)
	})
	_, _, o := k.Record(ctx, a, cowsliptarget.Record{ID: "q.1"})
	require.Equal(t, cowsliptarget.NotSent, o)
	ctx, cancel = context.WithCancel(t.Context())
	go func() {
		<-got
		cancel()
	}()
	_, _, o = k.Record(ctx, a, cowsliptarget.Record{ID: "q.2"})
	require.Equal(t, cowsliptarget.Cancelled, o)
	require.False(t, o.NotRun())
}

// slowWriter delays the return of Write, so that the target can read the data and
// respond before it.
type slowWriter struct{ net.Conn }

// Write writes b and returns 50 ms later.
func (s slowWriter) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	time.Sleep(50 * time.Millisecond)
	return n, err
}

// A truncated response can be evaluated before the write of the request returns.
// The outcome must still be Lost, because the request was sent.
func TestLostWhileTheWriteReturns(t *testing.T) {
	a := startRawTarget(t, func(n net.Conn) {
		readRequest(n)
		io.WriteString(n, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{")
	})
	k := cowsliptarget.NewClient(cowsliptarget.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		n, err := new(net.Dialer).DialContext(ctx, network, addr)
		return slowWriter{n}, err
	}})
	defer k.Close()
	_, _, o := k.Record(t.Context(), a, cowsliptarget.Record{ID: "q.1"})
	require.Equal(t, cowsliptarget.Lost, o, o.String())
}

// startStandIn starts a stand-in target that holds one shard.
func startStandIn(t *testing.T, f cowslipstandin.TargetFaults) *cowslipstandin.Target {
	x, err := cowslipstandin.StartTarget("127.0.0.1:0", cowslipstandin.TargetOptions{
		ID: "t1", Service: "diaries", Holdings: []cowsliptarget.Holding{{IndexVersion: 3, Lo: 0, Hi: 1024}},
	})
	require.NoError(t, err)
	t.Cleanup(x.Kill)
	x.SetFaults(f)
	return x
}

func newSearch(id string, version uint64) cowsliptarget.Search {
	return cowsliptarget.Search{ID: id, Service: "diaries", IndexVersion: version, Lo: 0, Hi: 1024}
}

func TestOnlyWholeAnswersToThisRequest(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults cowslipstandin.TargetFaults
		want   cowsliptarget.Outcome
	}{
		{"whole", cowslipstandin.TargetFaults{}, cowsliptarget.OK},
		{"swapped", cowslipstandin.TargetFaults{Swap: true}, cowsliptarget.Corrupt},
		{"truncated", cowslipstandin.TargetFaults{Truncate: true}, cowsliptarget.Corrupt},
		{"dropped", cowslipstandin.TargetFaults{DropReplies: 1}, cowsliptarget.Lost},
		{"failed", cowslipstandin.TargetFaults{FailEvery: 1}, cowsliptarget.Failed},
		{"leaving", cowslipstandin.TargetFaults{Leaving: true}, cowsliptarget.Leaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := startStandIn(t, c.faults)
			k := cowsliptarget.NewClient(cowsliptarget.Options{})
			defer k.Close()
			_, _, o := k.Search(t.Context(), x.Addr(), newSearch("q.1", 3))
			require.Equal(t, c.want, o, o.String())
		})
	}
}

// Callers may not yet know that a target has restarted. The target must refuse
// requests for its previous incarnation, and report the new incarnation.
func TestRestartedTargetRunsNothingMeantForTheRunBefore(t *testing.T) {
	x := startStandIn(t, cowslipstandin.TargetFaults{})
	k := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer k.Close()
	before, o := k.Status(t.Context(), x.Addr())
	require.Equal(t, cowsliptarget.OK, o)
	require.NoError(t, x.Restart(0))
	q := newSearch("q.1", 3)
	q.Incarnation = before.Incarnation
	_, r, o := k.Search(t.Context(), x.Addr(), q)
	require.Equal(t, cowsliptarget.Restarted, o)
	require.NotEqual(t, before.Incarnation, r.Incarnation)
	_, _, o = k.Record(t.Context(), x.Addr(), cowsliptarget.Record{ID: "r.1", Incarnation: before.Incarnation})
	require.Equal(t, cowsliptarget.Restarted, o)
	q.Incarnation = r.Incarnation
	_, _, o = k.Search(t.Context(), x.Addr(), q)
	require.Equal(t, cowsliptarget.OK, o)
	ran := 0
	for _, y := range x.Record().Runs {
		if y.Ran {
			ran++
		}
	}
	require.Equal(t, 1, ran)
}

func TestWrongVersionNamesWhatIsHeld(t *testing.T) {
	x := startStandIn(t, cowslipstandin.TargetFaults{})
	k := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer k.Close()
	_, r, o := k.Search(t.Context(), x.Addr(), newSearch("q.1", 2))
	require.Equal(t, cowsliptarget.WrongVersion, o)
	require.Equal(t, []cowsliptarget.Holding{{IndexVersion: 3, Lo: 0, Hi: 1024}}, r.Holdings)
}

// If a target sends each response twice, the second copy must not be accepted as
// the response to the next request.
func TestDoubledAnswers(t *testing.T) {
	x := startStandIn(t, cowslipstandin.TargetFaults{Double: true})
	k := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer k.Close()
	for _, id := range []string{"q.1", "q.2", "q.3", "q.4"} {
		r, _, o := k.Search(t.Context(), x.Addr(), newSearch(id, 3))
		if o == cowsliptarget.OK {
			require.Equal(t, id, r.ID)
		}
	}
}

// The connection of a cancelled request is closed, so that its late response
// cannot reach another request.
func TestLateAnswerMeetsNobody(t *testing.T) {
	x := startStandIn(t, cowslipstandin.TargetFaults{Extra: 100 * time.Millisecond})
	k := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer k.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, _, o := k.Search(ctx, x.Addr(), newSearch("q.1", 3))
	require.Equal(t, cowsliptarget.Cancelled, o)
	x.SetFaults(cowslipstandin.TargetFaults{})
	r, _, o := k.Search(t.Context(), x.Addr(), newSearch("q.2", 3))
	require.Equal(t, cowsliptarget.OK, o)
	require.Equal(t, "q.2", r.ID)
	require.EqualValues(t, 2, k.Opened(), "the connection of q.1 was not reused")
}

// Reports of a stand-in target can be stale or hide its state.
func TestReportsLagOrMislead(t *testing.T) {
	k := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer k.Close()
	x, err := cowslipstandin.StartTarget("127.0.0.1:0", cowslipstandin.TargetOptions{ID: "t1", Service: "diaries", WarmTime: time.Hour})
	require.NoError(t, err)
	t.Cleanup(x.Kill)
	cold := func() bool {
		r, o := k.Status(t.Context(), x.Addr())
		require.Equal(t, cowsliptarget.OK, o)
		return r.Cold
	}
	require.True(t, cold())
	x.SetFaults(cowslipstandin.TargetFaults{HideReports: true})
	require.False(t, cold())
	x.SetFaults(cowslipstandin.TargetFaults{HideReports: true, StaleReports: time.Hour})
	require.False(t, cold())
	x.SetFaults(cowslipstandin.TargetFaults{StaleReports: time.Hour})
	require.False(t, cold(), "the stale report repeats the previous one")
}
