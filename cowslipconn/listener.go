package cowslipconn

import (
	"bytes"
	"io"
	"net"
	"time"

	"k8s.io/utils/clock"
)

// Reason says why a Listener closed a connection.
type Reason string

// Reasons for closing a connection.
const (
	ReasonShare   Reason = "share"   // all connections together exceeded the account; this one held the most for the longest
	ReasonRefused Reason = "refused" // a new connection, while all others had requests in progress
	ReasonLarge   Reason = "large"   // a request exceeded the limit of one request
	ReasonBlank   Reason = "blank"   // empty lines before a request
	ReasonSlow    Reason = "slow"    // a request was not complete in time
	ReasonUnread  Reason = "unread"  // the client did not read its answer
)

// Options configures a Listener. Limits that are zero do not apply, except where stated.
type Options struct {
	Account *Account
	// PerByte and PerLine are the memory that a server needs for each byte and each line feed
	// of a request that it reads; 1 byte and nothing if both are 0.
	PerByte, PerLine int64
	// MaxRequest limits the bytes of one request that are read before it is in progress.
	MaxRequest int64
	// MaxBlank limits the bytes of empty lines before a request.
	MaxBlank int
	// RequestTime limits the time from the first byte of a request until it is in progress.
	RequestTime time.Duration
	// WriteTime limits the time in which a client reads nothing of its answer; 10 s if 0.
	WriteTime time.Duration
	// ChargeWrites charges what waits to be written. Without it, answers are counted elsewhere.
	ChargeWrites bool
	// OnClose is called for each connection that a limit closed.
	OnClose func(addr string, r Reason)
	Clock   clock.PassiveClock
}

// Listener applies an Account and other limits to the connections that it accepts. Create
// one with NewListener.
type Listener struct {
	net.Listener
	options Options
}

// NewListener returns a Listener for the connections of l.
func NewListener(l net.Listener, o Options) *Listener {
	if o.Account == nil {
		o.Account = &Account{}
	}
	if o.PerByte == 0 && o.PerLine == 0 {
		o.PerByte = 1
	}
	if o.WriteTime == 0 {
		o.WriteTime = defaultWriteTime
	}
	if o.OnClose == nil {
		o.OnClose = func(string, Reason) {}
	}
	if o.Clock == nil {
		o.Clock = clock.RealClock{}
	}
	return &Listener{Listener: l, options: o}
}

// Accept waits for the next connection that the account has room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		n, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: n, options: &l.options, addr: hostOf(n.RemoteAddr())}
		var others []io.Closer
		c.charge, others = l.options.Account.Open(l.options.Clock.Now(), c.addr, c)
		closeForShare(others)
		if c.charge != nil {
			return c, nil
		}
		l.options.OnClose(c.addr, ReasonRefused)
		// The error is ignored: the connection was just accepted and nothing was written.
		_ = n.Close()
	}
}

// hostOf returns an address without its port, which differs by connection.
func hostOf(a net.Addr) string {
	host, _, err := net.SplitHostPort(a.String())
	if err != nil {
		return a.String()
	}
	return host
}

// cost returns the memory that is charged for a part of a request.
func (o *Options) cost(b []byte) int64 {
	n := o.PerByte * int64(len(b))
	if o.PerLine > 0 {
		n += o.PerLine * int64(bytes.Count(b, []byte{'\n'}))
	}
	return n
}

// closeForShare closes connections that an Account has chosen.
func closeForShare(l []io.Closer) {
	for _, x := range l {
		if c, ok := x.(*Conn); ok {
			c.closeFor(ReasonShare)
		}
	}
}
