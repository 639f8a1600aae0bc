package cowsliptarget_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

const okResponse = "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nContent-Length: 2\r\n\r\nok"

// startScriptedTarget serves its nth connection with the nth script. For each
// element of a script it reads one request and performs the parts of the element,
// which are separated by "|": "reset" and "close" end the connection, "pause"
// sleeps for 20 ms, "early" leaves the request's body unread, and any other part
// is written as it is. An empty element sends no response.
func startScriptedTarget(t *testing.T, scripts ...[]string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	go func() {
		for _, s := range scripts {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go runScript(c.(*net.TCPConn), s)
		}
	}()
	return l.Addr().String()
}

func runScript(c *net.TCPConn, script []string) {
	defer c.Close()
	b := bufio.NewReader(c)
	for _, s := range script {
		r, err := http.ReadRequest(b)
		if err != nil {
			return
		}
		if !strings.Contains(s, "early") {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		for part := range strings.SplitSeq(strings.ReplaceAll(s, "%ID", r.Header.Get("X-Id")), "|") {
			switch part {
			case "reset":
				_ = c.SetLinger(0)
				return
			case "close":
				return
			case "early":
			case "pause":
				time.Sleep(20 * time.Millisecond)
			default:
				_, _ = io.WriteString(c, part)
			}
		}
	}
	_, _ = io.Copy(io.Discard, b)
}

func forward(f *cowsliptarget.Forwarder, addr, id, body string) (cowsliptarget.Response, cowsliptarget.Outcome) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	return f.Do(ctx, cowsliptarget.ForwardRequest{
		Addr: addr, Method: "POST", URI: "/x", Host: "h", ID: id, Body: []byte(body), MaxIdleConns: 1,
		Header: func() http.Header { return http.Header{"X-Id": {id}} },
	})
}

func newForwarder() *cowsliptarget.Forwarder {
	return cowsliptarget.NewForwarder(cowsliptarget.ForwarderOptions{IDHeader: "X-Id"})
}

// Guards against an answer that breaks off in its head and looks like a whole one with a short
// or an empty body.
func TestHeadsThatBreakOff(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Stamp: abc\r\nContent-Length: 12\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: q1\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: q1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Id: q1\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		for n := range len(head) {
			_, o := forward(newForwarder(), startScriptedTarget(t, []string{head[:n] + "|close"}), "q1", "body")
			require.Contains(t, []cowsliptarget.Outcome{cowsliptarget.Lost, cowsliptarget.Corrupt}, o, head[:n])
		}
	}
}

func TestForwardedAnswers(t *testing.T) {
	for _, c := range []struct {
		name, script string
		want         cowsliptarget.Outcome
	}{
		{"whole", okResponse, cowsliptarget.OK},
		{"chunked", "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", cowsliptarget.OK},
		{"no length, ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: %ID\r\n\r\nok|close", cowsliptarget.OK},
		{"no length, reset on the way", "HTTP/1.1 200 OK\r\nX-Id: %ID\r\n\r\nok|pause|reset", cowsliptarget.Corrupt},
		{"cut short", "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nContent-Length: 9\r\n\r\nok|close", cowsliptarget.Corrupt},
		{"chunk cut short", "HTTP/1.1 200 OK\r\nX-Id: %ID\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n|close", cowsliptarget.Corrupt},
		{"of another request", strings.ReplaceAll(okResponse, "%ID", "other"), cowsliptarget.Corrupt},
		{"of no request", strings.ReplaceAll(okResponse, "X-Id: %ID\r\n", ""), cowsliptarget.Corrupt},
		{"no answer in the protocol", "nonsense\r\n\r\n|close", cowsliptarget.Corrupt},
		{"closed without an answer", "close", cowsliptarget.Lost},
		{"reset without an answer", "reset", cowsliptarget.Lost},
		{"silent", "", cowsliptarget.Cancelled},
		{"continued first", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse, cowsliptarget.OK},
	} {
		t.Run(c.name, func(t *testing.T) {
			a, o := forward(newForwarder(), startScriptedTarget(t, []string{c.script}), "q1", "body")
			require.Equal(t, c.want, o)
			if o == cowsliptarget.OK {
				require.Equal(t, "ok", string(a.Body))
			}
		})
	}
	_, o := forward(newForwarder(), "127.0.0.1:1", "q1", "")
	require.Equal(t, cowsliptarget.NotSent, o, "nothing listens on the port")
}

func TestForwardedConnections(t *testing.T) {
	for _, c := range []struct {
		name    string
		scripts [][]string
		want    []cowsliptarget.Outcome
		opened  int64
	}{
		{"kept", [][]string{{okResponse, okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 1},
		{"told to close", [][]string{{strings.Replace(okResponse, "\r\n", "\r\nConnection: close\r\n", 1)}, {okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 2},
		{"idle time over", [][]string{{strings.Replace(okResponse, "\r\n", "\r\nKeep-Alive: timeout=0\r\n", 1)}, {okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 2},
		{"closed while idle", [][]string{{okResponse + "|close"}, {okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 2},
		{"a second answer at once", [][]string{{okResponse + okResponse}, {okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 2},
		{"a second answer while idle", [][]string{{okResponse + "|pause|" + okResponse}, {okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 2},
		{"a late answer before the next", [][]string{{okResponse, strings.ReplaceAll(okResponse, "%ID", "q0") + okResponse}}, []cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.OK}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, addr := newForwarder(), startScriptedTarget(t, c.scripts...)
			for i, w := range c.want {
				_, o := forward(f, addr, []string{"q0", "q1"}[i], "body")
				require.Equal(t, w, o, "request %d", i)
				time.Sleep(40 * time.Millisecond)
			}
			require.Equal(t, c.opened, f.Opened())
		})
	}
}

// A target that is full refuses a request and says so again, late, when the connection is
// in use for the next one. That refusal must not be taken for the answer to the next
// request, which runs: with or without an ID, and also if the next request is the same one
// again.
func TestLateRefusalMeetsTheNextRequest(t *testing.T) {
	const (
		refusal   = "HTTP/1.1 503 Service Unavailable\r\nX-Id: %ID\r\nContent-Length: 0\r\n\r\n"
		anonymous = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	)
	for _, c := range []struct {
		name    string
		scripts [][]string
		ids     []string
		want    cowsliptarget.Outcome
		status  int
	}{
		{"with the ID of the request before", [][]string{{refusal, strings.ReplaceAll(refusal, "%ID", "q0") + okResponse}}, []string{"q0", "q1"}, cowsliptarget.OK, 200},
		{"without an ID", [][]string{{refusal, anonymous + okResponse}}, []string{"q0", "q1"}, cowsliptarget.Corrupt, 0},
		{"the same request again", [][]string{{refusal, refusal + okResponse}, {okResponse}}, []string{"q0", "q0"}, cowsliptarget.OK, 200},
		{"a refusal without an ID, first on its connection", [][]string{{refusal + "|close"}, {anonymous}}, []string{"q0", "q1"}, cowsliptarget.OK, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, addr := newForwarder(), startScriptedTarget(t, c.scripts...)
			a, o := forward(f, addr, c.ids[0], "body")
			require.Equal(t, cowsliptarget.OK, o)
			require.Equal(t, 503, a.Status)
			time.Sleep(20 * time.Millisecond)
			a, o = forward(f, addr, c.ids[1], "body")
			require.Equal(t, c.want, o)
			require.Equal(t, c.status, a.Status)
		})
	}
}

// A response that arrives before a long body has been sent is accepted, and the
// connection is not reused.
func TestEarlyAnswerToALongBody(t *testing.T) {
	f, addr := newForwarder(), startScriptedTarget(t, []string{"early|" + okResponse + "|pause"}, []string{okResponse})
	a, o := forward(f, addr, "q1", strings.Repeat("x", 32<<20))
	require.Equal(t, cowsliptarget.OK, o)
	require.Equal(t, "ok", string(a.Body))
	_, o = forward(f, addr, "q2", "")
	require.Equal(t, cowsliptarget.OK, o)
	require.Equal(t, int64(2), f.Opened())
}

func TestSweepClosesOldConnections(t *testing.T) {
	f, addr := newForwarder(), startScriptedTarget(t, []string{okResponse, okResponse}, []string{okResponse})
	_, o := forward(f, addr, "q1", "")
	require.Equal(t, cowsliptarget.OK, o)
	f.Sweep(time.Now().Add(time.Hour))
	_, o = forward(f, addr, "q2", "")
	require.Equal(t, cowsliptarget.OK, o)
	require.Equal(t, int64(2), f.Opened())
}
