package cowsliptarget

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// Constants of forwarded requests.
const (
	// forwardDialTimeout limits connecting to a target. A target whose accept
	// queue is full, or that is partitioned, does not respond for seconds.
	forwardDialTimeout = 150 * time.Millisecond
	// concurrentBodyBytes is the body size from which the body is written while
	// the response is read, because the target may respond before it has received
	// the whole body.
	concurrentBodyBytes = 16 << 10
	// maxSkippedResponses is the number of responses that are skipped before a
	// connection is closed. Interim responses (1xx) are skipped on any connection,
	// responses to other requests only on a reused one.
	maxSkippedResponses = 2
	// idleTimeoutMargin is subtracted from the idle timeout that a target advertises.
	// A connection that has been idle for longer than the result is not reused.
	idleTimeoutMargin = 700 * time.Millisecond
	// errNoResponse means that the head of a response has no status, or that of a protocol that
	// was not asked for.
	errNoResponse = errors.ConstError("cowsliptarget: response has no valid status")
	// errLongHead means that the head of a response exceeds maxHeadBytes.
	errLongHead = errors.ConstError("cowsliptarget: response head exceeds its limit")
	// defaultIdleTimeout applies to targets that advertise no idle timeout.
	defaultIdleTimeout = 30 * time.Second
)

// ForwardRequest is a request to forward to a target, with all its headers.
type ForwardRequest struct {
	Addr         string
	Method       string
	URI          string
	Host         string
	ID           string
	Header       func() http.Header // called once a connection is available, so that a header can state the remaining time
	Body         []byte
	MaxIdleConns int // idle connections to the target that may be kept open
}

// Response is the complete response of a target. Its body counts towards the buffers of
// the Forwarder until Release is called.
type Response struct {
	Status int
	Header http.Header
	Body   []byte

	reservation *Reservation
}

// Release ends the use of the body. Further calls, also on copies, have no effect.
func (r Response) Release() { r.reservation.Release() }

// ForwarderOptions configure a Forwarder.
type ForwarderOptions struct {
	IDHeader string // the header in which targets echo a request's ID; a response other than 200 that is the first on its connection may omit it
	MaxBytes int64  // limit of a response body, 8 MiB if 0
	Buffers  *Buffers
	Dial     func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Forwarder sends requests to targets unchanged, one at a time on each
// connection, and keeps idle connections for reuse. It is safe for concurrent
// use. Create it with NewForwarder.
type Forwarder struct {
	options ForwarderOptions
	mu      sync.Mutex
	idle    map[string][]*forwardConn // by address, the most recently used connection last
	opened  atomic.Int64
}

// NewForwarder creates a forwarder.
func NewForwarder(o ForwarderOptions) *Forwarder {
	if o.Dial == nil {
		o.Dial = (&net.Dialer{}).DialContext
	}
	if o.MaxBytes == 0 {
		o.MaxBytes = maxReplyBytes
	}
	if o.Buffers == nil {
		o.Buffers = &Buffers{}
	}
	return &Forwarder{options: o, idle: map[string][]*forwardConn{}}
}

// Opened returns the number of connections opened so far.
func (f *Forwarder) Opened() int64 { return f.opened.Load() }

// forwardConn is a connection to a target.
type forwardConn struct {
	net.Conn
	read      *bufio.Reader // reads through forwardConn.Read
	headBytes int64         // how much more may be read while inHead is set
	inHead    bool
	lastID    string    // ID of the request that the connection served before
	expiresAt time.Time // when the idle connection must no longer be reused
	reused    bool
}

// Read reads from the connection. It fails once the head of a response is too long, which
// http.ReadResponse does not check.
func (c *forwardConn) Read(b []byte) (int, error) {
	if !c.inHead {
		return c.Conn.Read(b)
	}
	if c.headBytes <= 0 {
		return 0, errLongHead
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), c.headBytes)])
	c.headBytes -= int64(n)
	return n, err
}

// readHead reads the head of the next response.
func (c *forwardConn) readHead(method string) (*http.Response, error) {
	c.inHead, c.headBytes = true, maxHeadBytes
	p, err := http.ReadResponse(c.read, &http.Request{Method: method})
	c.inHead = false
	if err == nil && !isResponse(p) {
		return nil, errNoResponse
	}
	return p, err
}

// isResponse reports whether what was read is a response in the protocol, or an interim one.
// http.ReadResponse takes any three characters for a status that are a number, and any version.
func isResponse(p *http.Response) bool {
	interim := p.StatusCode >= http.StatusContinue && p.StatusCode < http.StatusOK && p.StatusCode != http.StatusSwitchingProtocols
	return p.ProtoMajor == 1 && (interim || IsFinalStatus(p.StatusCode))
}

// Do sends a request and returns the target's response. The outcome is OK for a
// complete response to this request, whatever its status; otherwise it says how
// the request failed. When ctx ends, Do closes the connection, which cancels the
// request at the target.
func (f *Forwarder) Do(ctx context.Context, r ForwardRequest) (Response, Outcome) {
	c, err := f.acquireConn(ctx, r.Addr, r.ID)
	if err != nil {
		return Response{}, NotSent
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	a, o, reusable := f.exchange(c, r)
	if !stop() {
		c.Close()
		if o != OK {
			o = cancelledOutcome(o)
		}
		return a, o
	}
	if reusable {
		f.releaseConn(r.Addr, c, r.MaxIdleConns)
	} else {
		c.Close()
	}
	return a, o
}

// cancelledOutcome returns the outcome of a request whose context ended before a
// complete response arrived.
func cancelledOutcome(o Outcome) Outcome {
	if o == NotSent {
		return NotSent
	}
	return Cancelled
}

// exchange writes the request and reads its response. The last result reports
// whether the connection can be reused.
func (f *Forwarder) exchange(c *forwardConn, r ForwardRequest) (Response, Outcome, bool) {
	written := make(chan error, 1)
	n, err := c.write(r, written)
	if err != nil {
		if n == 0 {
			return Response{}, NotSent, false
		}
		return Response{}, Lost, false
	}
	for range maxSkippedResponses + 1 {
		p, err := c.readHead(r.Method)
		if err != nil {
			return Response{}, readErrorOutcome(err), false
		}
		a, err := f.readResponse(p)
		switch {
		case err != nil:
			a.Release()
			return Response{}, Corrupt, false
		case p.StatusCode < http.StatusOK:
			a.Release()
			continue
		case f.answers(c, r, p):
			select {
			case err = <-written:
			default:
				err = errors.New("cowsliptarget: response arrived before the body was sent")
			}
			c.expiresAt = time.Now().Add(idleTimeout(p.Header))
			return a, OK, err == nil && !p.Close && c.read.Buffered() == 0
		}
		a.Release()
		if p.Close || !c.reused || p.Header.Get(f.options.IDHeader) == "" {
			return Response{}, Corrupt, false
		}
	}
	return Response{}, Corrupt, false
}

// answers reports whether a response on a connection belongs to the request. A response
// without an ID can belong to it only if no other request came before: on a reused
// connection, it may be a late second response to the previous one, and would be a wrong
// claim that this request did not run.
func (f *Forwarder) answers(c *forwardConn, r ForwardRequest, p *http.Response) bool {
	id := p.Header.Get(f.options.IDHeader)
	return id == r.ID || id == "" && p.StatusCode != http.StatusOK && !c.reused
}

// write sends the request and returns the number of bytes that may have been
// sent. A long body is written in a separate goroutine, which sends its result on
// written.
func (c *forwardConn) write(r ForwardRequest, written chan<- error) (int, error) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	// Writing to a bytes.Buffer never fails.
	_ = r.Header().Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(r.Body) < concurrentBodyBytes {
		b.Write(r.Body)
		n, err := c.Write(b.Bytes())
		written <- nil
		return n, err
	}
	n, err := c.Write(b.Bytes())
	if err != nil {
		return n, err
	}
	go func() {
		_, err := c.Write(r.Body)
		written <- err
	}()
	return n, nil
}

// readResponse reads the body. It does not close p.Body, since that would read an endless
// body on; the connection is closed or the body is at its end.
func (f *Forwarder) readResponse(p *http.Response) (Response, error) {
	a := Response{Status: p.StatusCode, Header: p.Header, reservation: f.options.Buffers.Reserve()}
	var err error
	a.Body, err = a.reservation.ReadAll(p.Body, p.ContentLength, f.options.MaxBytes)
	return a, err
}

// readErrorOutcome returns Lost if the connection ended, and Corrupt if the
// response was malformed.
func readErrorOutcome(err error) Outcome {
	var n net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &n) {
		return Lost
	}
	return Corrupt
}

// idleTimeout returns how long an idle connection may be reused, according to the
// target's Keep-Alive header.
func idleTimeout(h http.Header) time.Duration {
	for v := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		s, ok := strings.CutPrefix(strings.TrimSpace(v), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(s); err == nil {
			return max(time.Duration(n)*time.Second-idleTimeoutMargin, 0)
		}
	}
	return defaultIdleTimeout
}

// acquireConn returns a connection for the request with the given ID: a reusable idle one
// or a new one. A connection that has just served the same request is not reused, as when a
// target is asked again that was too busy before: a late second response to it could not
// be told from the response to this one.
func (f *Forwarder) acquireConn(ctx context.Context, addr, id string) (*forwardConn, error) {
	for {
		c := f.popIdle(addr)
		if c == nil {
			break
		}
		if time.Now().Before(c.expiresAt) && c.lastID != id && IsIdle(c.Conn) {
			c.reused, c.lastID = true, id
			return c, nil
		}
		c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
	defer cancel()
	n, err := f.options.Dial(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Annotate(err, "cowsliptarget: dial")
	}
	f.opened.Add(1)
	c := &forwardConn{Conn: n, lastID: id}
	c.read = bufio.NewReader(c)
	return c, nil
}

// Refuses reports whether the host of a target refuses a new connection, so that no process
// listens at the address.
func (f *Forwarder) Refuses(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, forwardDialTimeout)
	defer cancel()
	n, err := f.options.Dial(ctx, "tcp", addr)
	if err == nil {
		n.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (f *Forwarder) popIdle(addr string) *forwardConn {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.idle[addr]
	if len(l) == 0 {
		return nil
	}
	c := l[len(l)-1]
	f.idle[addr] = l[:len(l)-1]
	return c
}

func (f *Forwarder) releaseConn(addr string, c *forwardConn, maxIdleConns int) {
	f.mu.Lock()
	l := f.idle[addr]
	if len(l) < maxIdleConns {
		f.idle[addr] = append(l, c)
		c = nil
	}
	f.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// Sweep closes the idle connections that have expired by now.
func (f *Forwarder) Sweep(now time.Time) {
	f.mu.Lock()
	var old []*forwardConn
	for a, l := range f.idle {
		l = slices.DeleteFunc(l, func(c *forwardConn) bool {
			if now.Before(c.expiresAt) {
				return false
			}
			old = append(old, c)
			return true
		})
		if len(l) == 0 {
			delete(f.idle, a)
			continue
		}
		f.idle[a] = l
	}
	f.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// IsIdle reports whether a connection is open and has no data to read. Data that
// arrived while it was idle belongs to no request.
func IsIdle(n net.Conn) bool {
	t, ok := n.(syscall.Conn)
	if !ok {
		return true
	}
	r, err := t.SyscallConn()
	return err == nil && isOpenWithoutData(r)
}

// isOpenWithoutData does not wait for a concurrent read of the connection to end.
func isOpenWithoutData(r syscall.RawConn) bool {
	open := false
	err := r.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = err == unix.EAGAIN
	})
	return err == nil && open
}
