package cowslipconn_test

import (
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipflow/cowslipconn"

	"github.com/stretchr/testify/require"
)

// closings records the connections that limits closed.
type closings struct {
	mu sync.Mutex
	l  []cowslipconn.Reason
}

func (c *closings) add(_ string, r cowslipconn.Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.l = append(c.l, r)
}

func (c *closings) list() []cowslipconn.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]cowslipconn.Reason(nil), c.l...)
}

// newListener starts a listener on a loopback address.
func newListener(t *testing.T, o cowslipconn.Options) (*cowslipconn.Listener, *closings) {
	var k closings
	o.OnClose = k.add
	n, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := cowslipconn.NewListener(n, o)
	t.Cleanup(func() { l.Close() })
	return l, &k
}

// connect returns both ends of a connection.
func connect(t *testing.T, l *cowslipconn.Listener) (net.Conn, *cowslipconn.Conn) {
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return client, c.(*cowslipconn.Conn)
}

// readAll reads until the connection fails.
func readAll(c net.Conn) error {
	b := make([]byte, 4096)
	for {
		if _, err := c.Read(b); err != nil {
			return err
		}
	}
}

// Guards against bytes before a request, or of a request, that a server keeps reading without
// end.
func TestRequestsWithoutEnd(t *testing.T) {
	for _, c := range []struct {
		name   string
		o      cowslipconn.Options
		send   string
		reason cowslipconn.Reason
	}{
		{"empty lines", cowslipconn.Options{MaxBlank: 64}, strings.Repeat("\r\n", 100), cowslipconn.ReasonBlank},
		{"bare line feeds", cowslipconn.Options{MaxBlank: 64}, strings.Repeat("\n", 100), cowslipconn.ReasonBlank},
		{"one request", cowslipconn.Options{MaxRequest: 1000}, strings.Repeat("d", 5000), cowslipconn.ReasonLarge},
		{"share of the account", cowslipconn.Options{Account: cowslipconn.NewAccount(cowslipconn.Limits{Bytes: 100_000}), PerByte: 2, PerLine: 100}, strings.Repeat("d\n", 2000), cowslipconn.ReasonShare},
		{"half a request", cowslipconn.Options{RequestTime: 100 * time.Millisecond}, "GET /", cowslipconn.ReasonSlow},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, k := newListener(t, c.o)
			client, server := connect(t, l)
			_, err := io.WriteString(client, c.send)
			require.NoError(t, err)
			require.Error(t, readAll(server))
			require.Equal(t, []cowslipconn.Reason{c.reason}, k.list())
			require.NoError(t, client.SetReadDeadline(time.Now().Add(5*time.Second)))
			_, err = client.Read(make([]byte, 1))
			require.Error(t, err)
			require.NotErrorIs(t, err, net.ErrClosed)
		})
	}
}

// Guards against limits of a request that cut ordinary ones: an idle connection, a request
// that runs for long, and empty lines in its body.
func TestOrdinaryRequestsMeetNoLimit(t *testing.T) {
	l, k := newListener(t, cowslipconn.Options{RequestTime: 100 * time.Millisecond, MaxBlank: 16, MaxRequest: 200})
	client, server := connect(t, l)
	b := make([]byte, 4096)
	for range 3 {
		_, err := io.WriteString(client, "\r\nGET / HTTP/1.1\r\n\r\n")
		require.NoError(t, err)
		_, err = server.Read(b)
		require.NoError(t, err)
		require.Equal(t, cowslipconn.Admitted, server.Begin())
		_, err = io.WriteString(client, strings.Repeat("\r\n", 2000))
		require.NoError(t, err)
		_, err = io.ReadFull(server, b[:4000])
		require.NoError(t, err)
		time.AfterFunc(200*time.Millisecond, func() { _, _ = io.WriteString(client, "x") })
		_, err = server.Read(b)
		require.NoError(t, err, "a request in progress has no limit of its own")
		_, err = io.WriteString(server, "answer")
		require.NoError(t, err)
		server.End()
		time.Sleep(150 * time.Millisecond)
	}
	require.Empty(t, k.list())
}

// Guards against a body that is counted twice, and against a connection that is no longer
// counted after a request was refused while its body was read.
func TestBodyIsCountedElsewhere(t *testing.T) {
	a := cowslipconn.NewAccount(cowslipconn.Limits{Bytes: 10_000, Base: 100})
	l, _ := newListener(t, cowslipconn.Options{Account: a})
	client, server := connect(t, l)
	b := make([]byte, 4096)
	for range 2 {
		_, err := io.WriteString(client, "POST")
		require.NoError(t, err)
		_, err = io.ReadFull(server, b[:4])
		require.NoError(t, err)
		server.BodyFollows()
		_, err = io.WriteString(client, strings.Repeat("d", 4000))
		require.NoError(t, err)
		_, err = io.ReadFull(server, b[:4000])
		require.NoError(t, err)
		require.Equal(t, cowslipconn.Usage{Bytes: 104, Conns: 1}, a.Usage(), "it is not busy until all of it was read")
		server.End()
		require.Equal(t, cowslipconn.Usage{Bytes: 100, Conns: 1}, a.Usage())
	}
	_, err := io.WriteString(client, strings.Repeat("d", 4000))
	require.NoError(t, err)
	require.ErrorIs(t, readAll(server), cowslipconn.ErrLimit)
	require.Equal(t, cowslipconn.Usage{}, a.Usage())
}

// Guards against a server that cannot end a read of its own: it waits for the next bytes while
// a request runs, to learn of a client that leaves, and ends that read by a deadline that has
// passed. The read began before the request was admitted.
func TestServerEndsItsRead(t *testing.T) {
	l, k := newListener(t, cowslipconn.Options{RequestTime: time.Minute})
	client, server := connect(t, l)
	_, err := io.WriteString(client, "GET")
	require.NoError(t, err)
	_, err = server.Read(make([]byte, 3))
	require.NoError(t, err)
	ended := make(chan error)
	go func() {
		_, err := server.Read(make([]byte, 1))
		ended <- err
	}()
	time.Sleep(50 * time.Millisecond) // until it waits
	require.Equal(t, cowslipconn.Admitted, server.Begin())
	require.NoError(t, server.SetReadDeadline(time.Unix(1, 0)))
	select {
	case err := <-ended:
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(5 * time.Second):
		t.Fatal("the read does not end")
	}
	server.End()
	require.NoError(t, server.SetReadDeadline(time.Time{}))
	_, err = io.WriteString(client, "GET")
	require.NoError(t, err)
	_, err = server.Read(make([]byte, 3))
	require.NoError(t, err)
	require.Empty(t, k.list())
}

// Guards against an answer that is held for as long as its client does not read, and against
// the limit cutting a client that reads slowly.
func TestUnreadAnswers(t *testing.T) {
	answer := make([]byte, 16<<20)
	for _, reads := range []bool{false, true} {
		a := cowslipconn.NewAccount(cowslipconn.Limits{})
		l, k := newListener(t, cowslipconn.Options{Account: a, WriteTime: 400 * time.Millisecond, ChargeWrites: true})
		client, server := connect(t, l)
		if reads {
			go func() {
				b := make([]byte, 32<<10)
				for began := time.Now(); time.Since(began) < 1500*time.Millisecond; time.Sleep(20 * time.Millisecond) {
					if _, err := client.Read(b); err != nil {
						return
					}
				}
				_, _ = io.Copy(io.Discard, client)
			}()
		}
		n, err := server.Write(answer)
		if reads {
			require.NoError(t, err)
			require.Equal(t, len(answer), n)
			require.Empty(t, k.list())
			continue
		}
		require.Error(t, err)
		require.Equal(t, []cowslipconn.Reason{cowslipconn.ReasonUnread}, k.list())
		require.Equal(t, cowslipconn.Usage{}, a.Usage(), "what the connection held is released")
	}
}

// Guards against a crowd that keeps a new client from connecting, and against a request that
// is cut while it runs.
func TestNewClientDisplacesACrowd(t *testing.T) {
	a := cowslipconn.NewAccount(cowslipconn.Limits{Conns: 4})
	l, k := newListener(t, cowslipconn.Options{Account: a})
	client, running := connect(t, l)
	require.Equal(t, cowslipconn.Admitted, running.Begin())
	for range 20 {
		connect(t, l)
	}
	require.Equal(t, 4, a.Usage().Conns)
	require.Len(t, k.list(), 17)
	_, err := io.WriteString(running, "answer")
	require.NoError(t, err)
	_, err = io.ReadFull(client, make([]byte, 6))
	require.NoError(t, err)
	running.End()
}

// Guards against the loss of what servers need of a connection.
func TestConnIsWhole(t *testing.T) {
	l, _ := newListener(t, cowslipconn.Options{})
	client, server := connect(t, l)
	r, err := server.SyscallConn()
	require.NoError(t, err)
	require.NoError(t, r.Control(func(uintptr) {}))
	require.NoError(t, server.CloseWrite())
	_, err = client.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
	require.NoError(t, server.SetReadDeadline(time.Now().Add(-time.Second)))
	_, err = server.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, server.SetDeadline(time.Time{}))
	_, err = io.WriteString(client, "x")
	require.NoError(t, err)
	_, err = server.Read(make([]byte, 1))
	require.NoError(t, err)
}
