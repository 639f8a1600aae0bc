package cowslipconn

import (
	"bytes"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	defaultWriteTime = 10 * time.Second
	// writePiece is how much is written at once.
	writePiece = 64 << 10
	// writeChecks is how often within the time limit of a write it is checked how much the
	// client has read.
	writeChecks = 4
	// minProgress is how much of an answer a client must read from one check to the next.
	minProgress = 4 << 10
)

// Errors of Conn.
const (
	// ErrLimit means that a connection exceeded a limit and was closed.
	ErrLimit = errors.ConstError("cowslipconn: connection exceeds its limit")
	// errNoDescriptor means that a connection has no descriptor of its own.
	errNoDescriptor = errors.ConstError("cowslipconn: connection has no descriptor")
)

// Conn is a connection of a Listener. The server that reads it must call Begin for each
// request before it runs, and End after it was answered.
type Conn struct {
	net.Conn
	options *Options
	addr    string
	charge  *Charge
	closing sync.Once

	mu         sync.Mutex
	running    bool
	inBody     bool      // the rest of the request is counted elsewhere
	unanswered int64     // bytes of the request that is being read
	blank      bool      // all of them belong to empty lines
	began      time.Time // when the first of them arrived, zero if none did
	armed      bool      // the read deadline is that of the request
	readBy     time.Time // deadlines that the server has set, zero for none
	writeBy    time.Time
}

// BodyFollows tells that the head of a request was read, and that its body is counted
// elsewhere. Until Begin is called, the connection may still be closed.
func (c *Conn) BodyFollows() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inBody, c.unanswered, c.began = true, 0, time.Time{}
}

// Begin decides whether a request that was read may run. If it may, the connection stays open
// until End.
func (c *Conn) Begin() Decision {
	d := c.options.Account.Begin(c.charge)
	if d == Admitted {
		c.mu.Lock()
		c.running, c.inBody, c.unanswered, c.began = true, false, 0, time.Time{}
		c.mu.Unlock()
	}
	return d
}

// End ends a request that was answered, whether Begin admitted it or it was refused after
// BodyFollows. Otherwise it has no effect.
func (c *Conn) End() {
	c.mu.Lock()
	running, inBody := c.running, c.inBody
	c.running, c.inBody = false, false
	c.mu.Unlock()
	switch now := c.options.Clock.Now(); {
	case running:
		c.options.Account.End(now, c.charge)
	case inBody:
		c.options.Account.Refused(now, c.charge)
	}
}

// Read reads from the connection. It closes the connection and returns ErrLimit if a limit
// is exceeded.
func (c *Conn) Read(b []byte) (int, error) {
	by, err := c.arm()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 {
		if r := c.count(b[:n]); r != "" {
			c.closeFor(r)
			return 0, ErrLimit
		}
	}
	if !by.IsZero() && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(by) {
		c.closeFor(ReasonSlow)
	}
	return n, err
}

// arm sets the read deadline. It returns that of the request if it comes before the server's,
// otherwise zero.
func (c *Conn) arm() (time.Time, error) {
	if c.options.RequestTime == 0 {
		return time.Time{}, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	by := c.began.Add(c.options.RequestTime)
	if c.running || c.began.IsZero() || !c.readBy.IsZero() && c.readBy.Before(by) {
		if !c.armed {
			return time.Time{}, nil
		}
		c.armed = false
		return time.Time{}, c.Conn.SetReadDeadline(c.readBy)
	}
	c.armed = true
	return by, c.Conn.SetReadDeadline(by)
}

// count charges bytes that were read. It returns the reason to close the connection, if any.
func (c *Conn) count(b []byte) Reason {
	c.mu.Lock()
	if c.running || c.inBody {
		c.mu.Unlock()
		return ""
	}
	now := c.options.Clock.Now()
	if c.unanswered == 0 {
		c.began, c.blank = now, true
	}
	c.unanswered += int64(len(b))
	c.blank = c.blank && len(bytes.Trim(b, "\r\n")) == 0
	tooLong := c.options.MaxRequest > 0 && c.unanswered > c.options.MaxRequest
	tooBlank := c.options.MaxBlank > 0 && c.blank && c.unanswered > int64(c.options.MaxBlank)
	c.mu.Unlock()
	if tooBlank {
		return ReasonBlank
	}
	if tooLong {
		return ReasonLarge
	}
	ok, others := c.options.Account.Read(now, c.charge, c.options.cost(b))
	closeForShare(others)
	if !ok {
		return ReasonShare
	}
	return ""
}

// Write writes to the connection. It closes the connection if the client reads nothing for
// too long.
func (c *Conn) Write(b []byte) (int, error) {
	charged := int64(0)
	if c.options.ChargeWrites {
		charged = int64(len(b))
	}
	closeForShare(c.options.Account.Write(c.options.Clock.Now(), c.charge, charged))
	defer c.options.Account.Written(c.charge, charged)
	n, acked, waited, progress := 0, 0, false, time.Now()
	for {
		by, limited, err := c.armWrite()
		if err != nil {
			return n, err
		}
		m, err := c.Conn.Write(b[n:min(n+writePiece, len(b))])
		n += m
		if limited && errors.Is(err, os.ErrDeadlineExceeded) && !time.Now().Before(by) {
			// What is still queued tells what the client has read: the kernel wakes a writer
			// only once a third of its buffer is free.
			a := n - c.queued()
			if waited && a-acked >= minProgress {
				progress = by
			}
			if by.Sub(progress) < c.options.WriteTime {
				acked, waited = a, true
				continue
			}
			c.closeFor(ReasonUnread)
			return n, err
		}
		if err != nil || n == len(b) {
			return n, err
		}
	}
}

// armWrite sets the write deadline and returns it. It reports whether the limit for clients
// that read nothing comes before the server's own deadline.
func (c *Conn) armWrite() (time.Time, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := time.Now().Add(c.options.WriteTime / writeChecks)
	limited := c.writeBy.IsZero() || by.Before(c.writeBy)
	if !limited {
		by = c.writeBy
	}
	return by, limited, c.Conn.SetWriteDeadline(by)
}

// queued returns the number of bytes that were written and not acknowledged by the client.
func (c *Conn) queued() int {
	r, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = r.Control(func(fd uintptr) {
		if q, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			n = q
		}
	})
	if err != nil {
		return 0
	}
	return n
}

// Close closes the connection and releases what it holds.
func (c *Conn) Close() error {
	c.closing.Do(func() {})
	c.options.Account.Close(c.charge)
	return c.Conn.Close()
}

// closeFor closes the connection for a limit.
func (c *Conn) closeFor(r Reason) {
	c.closing.Do(func() { c.options.OnClose(c.addr, r) })
	// The error is ignored: the server that uses the connection meets it.
	_ = c.Close()
}

// CloseWrite closes the writing side, so that the client can read an answer to a request that
// was not read to its end.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errNoDescriptor
}

// SetDeadline sets the server's deadlines for reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SetReadDeadline sets the server's deadline for reads.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy = t
	if by := c.began.Add(c.options.RequestTime); c.armed && !c.began.IsZero() && (t.IsZero() || by.Before(t)) {
		return nil
	}
	c.armed = false
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline sets the server's deadline for writes.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeBy = t
	return c.Conn.SetWriteDeadline(t)
}
