package cowslipstandin

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 8 << 20

func init() { hlog.SetLevel(hlog.LevelFatal) }

// listener accepts a limited number of connections at once, delays their first read
// and can close them all.
type listener struct {
	net.Listener
	mu       sync.Mutex
	limit    int
	delay    func() time.Duration
	open     map[net.Conn]bool
	refused  int
	peak     int
	refusing bool
}

func newListener(l net.Listener, limit int, delay func() time.Duration) *listener {
	return &listener{Listener: l, limit: limit, delay: delay, open: map[net.Conn]bool{}}
}

// Accept returns the next connection within the limit and closes those above it.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if n := l.admit(c); n != nil {
			return n, nil
		}
		c.Close()
	}
}

func (l *listener) admit(c net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refusing || l.limit > 0 && len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	n := &trackedConn{Conn: c, listener: l}
	if l.delay != nil {
		n.readyAt = time.Now().Add(l.delay())
	}
	l.open[n] = true
	l.peak = max(l.peak, len(l.open))
	return n
}

// closeAll closes all connections and, if refuseNew is true, all new ones as well.
func (l *listener) closeAll(refuseNew bool) {
	l.mu.Lock()
	l.refusing = refuseNew
	var o []net.Conn
	for c := range l.open {
		o = append(o, c)
	}
	l.mu.Unlock()
	for _, c := range o {
		c.Close()
	}
}

type trackedConn struct {
	net.Conn
	listener *listener
	readyAt  time.Time
	once     sync.Once
}

// Read reads from the connection, but not before the listener's delay has passed.
func (c *trackedConn) Read(b []byte) (int, error) {
	if d := time.Until(c.readyAt); d > 0 {
		time.Sleep(d)
	}
	return c.Conn.Read(b)
}

// Close closes the connection, which no longer counts towards the limit.
func (c *trackedConn) Close() error {
	c.once.Do(func() {
		c.listener.mu.Lock()
		delete(c.listener.open, c)
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

func newServer(l net.Listener) *server.Hertz {
	return server.New(
		server.WithListener(l),
		server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true),
		server.WithMaxRequestBodySize(maxBodyBytes),
		server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(0),
	)
}

func shutdown(h *server.Hertz) {
	c, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	h.Shutdown(c)
}

// decodeBody decodes a JSON body into v and reports whether that succeeded. If not, it
// has answered with status 400.
func decodeBody(c *app.RequestContext, v any) bool {
	if err := json.Unmarshal(c.Request.Body(), v); err != nil {
		c.JSON(400, map[string]string{"error": err.Error()})
		return false
	}
	return true
}
