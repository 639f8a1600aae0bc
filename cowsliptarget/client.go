package cowsliptarget

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxHeadBytes limits the head of a response. Parsed, many short lines take about ten
// times as many bytes.
const maxHeadBytes = 16 << 10

// maxReplyBytes limits the body of a response. A Forwarder can override it with
// ForwarderOptions.MaxBytes.
const maxReplyBytes = 8 << 20

// maxStaleConns limits how many connections that were closed while idle a request
// tries in a row. It is the number of idle connections to a target by default.
const maxStaleConns = 2

// dialTimeout limits connecting to a target with the default dialer.
const dialTimeout = time.Second

// Options configure a Client. The zero value is valid.
type Options struct {
	MaxIdleConnsPerTarget int               // idle connections kept open per target, 2 if 0
	OnDisconnect          func(addr string) // called when a connection to addr ends that this side did not close; may be nil
	Dial                  func(ctx context.Context, network, addr string) (net.Conn, error)
	Buffers               *Buffers // which the replies count towards; they have their own if nil
}

// Client sends requests to targets. It is safe for concurrent use. Create it
// with NewClient.
type Client struct {
	http      *http.Client
	transport *http.Transport
	buffers   *Buffers
	opened    atomic.Int64
}

// NewClient creates a client.
func NewClient(o Options) *Client {
	if o.MaxIdleConnsPerTarget <= 0 {
		o.MaxIdleConnsPerTarget = 2
	}
	if o.Buffers == nil {
		o.Buffers = &Buffers{}
	}
	c := &Client{buffers: o.Buffers}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	c.transport = &http.Transport{
		MaxIdleConnsPerHost:    o.MaxIdleConnsPerTarget,
		MaxResponseHeaderBytes: maxHeadBytes,
		DisableCompression:     true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			n, err := o.Dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			c.opened.Add(1)
			return &countingConn{Conn: n, addr: addr, onDisconnect: o.OnDisconnect}, nil
		},
	}
	c.http = &http.Client{Transport: c.transport}
	return c
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() int64 { return c.opened.Load() }

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Search sends a sub-request to the target at addr. The report is the zero value
// unless the outcome is OK or the target sent a Refusal of this request.
func (c *Client) Search(ctx context.Context, addr string, s Search) (SearchReply, Report, Outcome) {
	var r SearchReply
	var x exchange
	o := x.do(ctx, c, addr, "/v1/search", s.ID, s, &r)
	if o != OK {
		return SearchReply{}, x.report, o
	}
	if r.ID != s.ID || r.IndexVersion != s.IndexVersion || r.Lo != s.Lo || r.Hi != s.Hi || r.Checksum != Checksum(r.ID, r.Items) {
		x.closeConn()
		return SearchReply{}, Report{}, Corrupt
	}
	return r, r.Report, OK
}

// Record sends a non-idempotent request, once.
func (c *Client) Record(ctx context.Context, addr string, q Record) (RecordReply, Report, Outcome) {
	var r RecordReply
	var x exchange
	o := x.do(ctx, c, addr, "/v1/record", q.ID, q, &r)
	if o != OK {
		return RecordReply{}, x.report, o
	}
	if r.ID != q.ID || r.Checksum != Checksum(r.ID, []Item{{Text: r.Result}}) {
		x.closeConn()
		return RecordReply{}, Report{}, Corrupt
	}
	return r, r.Report, OK
}

// Status fetches the report of a target.
func (c *Client) Status(ctx context.Context, addr string) (Report, Outcome) {
	var r Report
	var x exchange
	o := x.do(ctx, c, addr, "/v1/status", "", struct{}{}, &r)
	return r, o
}

// exchange is one request and its response. It tracks whether any byte of the
// request was written.
type exchange struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	written       bool
	reused        bool // conn had served another request before
	report        Report
}

func (x *exchange) gotConn(i httptrace.GotConnInfo) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateWritten()
	n, ok := i.Conn.(*countingConn)
	if !ok {
		return
	}
	x.conn = n
	x.writtenBefore = n.written.Load()
	x.reused = i.Reused
	// The target may have closed an idle connection, for example by a restart, before
	// the transport has noticed. Closed here, it takes no byte of the request, and the
	// transport uses another connection.
	if i.Reused && !IsIdle(n.Conn) {
		n.Close()
	}
}

// updateWritten sets written if the current connection has carried any byte of
// the request. x.mu must be held.
func (x *exchange) updateWritten() {
	if x.conn != nil && x.conn.written.Load() > x.writtenBefore {
		x.written = true
	}
}

func (x *exchange) sent() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateWritten()
	return x.written
}

// closeConn closes the connection, so that no response to this request or an
// earlier one arrives on it during a later one.
func (x *exchange) closeConn() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.conn != nil {
		x.conn.Close()
	}
}

// do sends the request and decodes the response. If an idle connection turns out to be
// closed before it took any byte of the request, do uses another one.
func (x *exchange) do(ctx context.Context, c *Client, addr, path, id string, in, out any) Outcome {
	b, err := json.Marshal(in)
	if err != nil {
		return NotSent
	}
	o := x.doOnce(ctx, c, addr, path, id, b, out)
	for n := 0; n < maxStaleConns && o == NotSent && x.reused && ctx.Err() == nil; n++ {
		x.reused = false
		o = x.doOnce(ctx, c, addr, path, id, b, out)
	}
	return o
}

func (x *exchange) doOnce(ctx context.Context, c *Client, addr, path, id string, body []byte, out any) Outcome {
	t := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: x.gotConn})
	r, err := http.NewRequestWithContext(t, http.MethodPost, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return NotSent
	}
	r.Header.Set("Content-Type", "application/json")
	p, err := c.http.Do(r)
	if err != nil {
		return x.errorOutcome(ctx)
	}
	defer p.Body.Close()
	if !IsFinalStatus(p.StatusCode) {
		x.closeConn()
		return Corrupt
	}
	v := c.buffers.Reserve()
	defer v.Release()
	b, err := v.ReadAll(p.Body, p.ContentLength, maxReplyBytes)
	if errors.Is(err, ErrTooLong) || errors.Is(err, ErrBufferFull) {
		x.closeConn()
		return Corrupt
	}
	if err != nil {
		return x.errorOutcome(ctx)
	}
	if p.StatusCode != http.StatusOK {
		return x.refusalOutcome(p.StatusCode, id, b)
	}
	if err := json.Unmarshal(b, out); err != nil {
		x.closeConn()
		return Corrupt
	}
	return OK
}

func (x *exchange) errorOutcome(ctx context.Context) Outcome {
	switch {
	case !x.sent():
		return NotSent
	case ctx.Err() != nil:
		return Cancelled
	}
	return Lost
}

// refusalOutcome returns the outcome of a response with an error status. Only a
// refusal that carries the ID of this request proves that it did not run.
func (x *exchange) refusalOutcome(status int, id string, b []byte) Outcome {
	var f Refusal
	if err := json.Unmarshal(b, &f); err != nil || f.ID != id {
		x.closeConn()
		if status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable {
			return Failed
		}
		return Corrupt
	}
	x.report = f.Report
	switch f.Code {
	case CodeShed:
		return Shed
	case CodeLeaving:
		return Leaving
	case CodeWrongVersion:
		return WrongVersion
	case CodeExpired:
		return Expired
	case CodeRestarted:
		return Restarted
	}
	return Failed
}

// countingConn counts the bytes written, and calls onDisconnect once when the
// connection ends and this side did not close it.
type countingConn struct {
	net.Conn
	addr         string
	onDisconnect func(addr string)
	once         sync.Once
	written      atomic.Int64
}

// Write counts the bytes before it writes them, because the response can arrive
// and be evaluated before the underlying Write returns.
func (n *countingConn) Write(b []byte) (int, error) {
	n.written.Add(int64(len(b)))
	k, err := n.Conn.Write(b)
	n.written.Add(int64(k - len(b)))
	return k, err
}

// Read calls onDisconnect if the connection ended and this side did not close it.
func (n *countingConn) Read(b []byte) (int, error) {
	k, err := n.Conn.Read(b)
	if err == io.EOF || err != nil && !isClosedLocally(err) {
		n.once.Do(func() {
			if n.onDisconnect != nil {
				n.onDisconnect(n.addr)
			}
		})
	}
	return k, err
}

// isClosedLocally reports whether err means that this side closed the connection.
func isClosedLocally(err error) bool {
	o, ok := err.(*net.OpError)
	return ok && o.Err == net.ErrClosed
}
