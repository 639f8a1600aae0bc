package cowslipentry

import (
	"context"
	"expvar"
	"net"
	"sync"
	"time"

	"cowslipflow/cowslipconn"

	"github.com/cloudwego/hertz/pkg/app"
	"golang.org/x/sys/unix"
)

// Port is a kind of address at which an instance accepts connections.
type Port string

// The ports of an instance.
const (
	PortCallers   Port = "callers"
	PortReadiness Port = "readiness"
	PortOperators Port = "operators"
	PortPeers     Port = "peers"
)

const (
	// maxRequestBytes limits the bytes of one HTTP request, with its head, the overhead of
	// its chunks and its trailer.
	maxRequestBytes = 2 * maxBodyBytes
	// maxPeerRequestBytes limits the bytes of one request of a peer. It is above the limit
	// that drpc has for a message.
	maxPeerRequestBytes = 8 << 20
	// requestTime limits how long one HTTP request may take to arrive.
	requestTime = 30 * time.Second
	// maxBlankBytes limits the empty lines before a request. Callers send two bytes at most.
	maxBlankBytes = 64
	// unknownMemory is what the connections of a port may hold if the memory of the instance
	// is unknown.
	unknownMemory = 64 << 20
	// fileDescriptors are not available to connections.
	fileDescriptors = 200
	// minConns is the least number of connections that a port may have.
	minConns = 16
	// shareUnits is the unit of the shares in portShares.
	shareUnits = 32
	// connLogInterval is the least time between two log lines about the connections of one
	// port that limits closed.
	connLogInterval = time.Second
)

// portShare is what the connections of a port may hold.
type portShare struct {
	memory, conns    int64 // in 1/shareUnits of the memory and of the descriptors
	base             int64 // bytes for each connection
	perByte, perLine int64 // bytes for each byte and each line that is read
}

// portShares sum up to 8/32 of the memory and 20/32 of the descriptors, the rest of which is
// for connections to targets. Once parsed, a head took 1.5 times its bytes with one long
// field, and 83 bytes more for each of thousands of short ones.
var portShares = map[Port]portShare{
	PortCallers:   {memory: 4, conns: 12, base: 16 << 10, perByte: 2, perLine: 128},
	PortReadiness: {memory: 1, conns: 1, base: 16 << 10, perByte: 2, perLine: 128},
	PortOperators: {memory: 1, conns: 1, base: 24 << 10, perByte: 2, perLine: 128},
	PortPeers:     {memory: 2, conns: 6, base: 24 << 10, perByte: 1},
}

// LimitConns returns a listener that limits what the connections of a port hold together.
// Encrypted says that they use TLS. It must be called once for each port.
func (e *Entry) LimitConns(p Port, l net.Listener, encrypted bool) *cowslipconn.Listener {
	s := portShares[p]
	if encrypted {
		// The state of TLS adds to each connection, and fields cannot be told from encrypted
		// bytes, so each byte counts as one of a short field.
		s.base, s.perByte, s.perLine = 2*s.base, 12, 0
	}
	m := int64(unknownMemory)
	if e.opts.Memory > 0 {
		m = e.opts.Memory * s.memory / shareUnits
	}
	a := cowslipconn.NewAccount(cowslipconn.Limits{Bytes: m, Conns: int(max(connDescriptors(e.opts.MaxFDs)*s.conns/shareUnits, minConns)), Base: s.base})
	o := cowslipconn.Options{Account: a, PerByte: s.perByte, PerLine: s.perLine, OnClose: e.logClosed(p), Clock: e.clock}
	switch p {
	case PortPeers:
		o.MaxRequest, o.ChargeWrites = maxPeerRequestBytes, true
	case PortOperators:
		o.MaxRequest, o.RequestTime, o.ChargeWrites = maxRequestBytes, requestTime, true
	}
	if e.opts.Edge == nil && p == PortCallers {
		o.MaxRequest, o.RequestTime, o.ChargeWrites = maxRequestBytes, requestTime, true
	}
	if p != PortPeers && !encrypted {
		o.MaxBlank = maxBlankBytes
	}
	e.metrics.conns.Set(string(p), expvar.Func(func() any { return a.Usage() }))
	return cowslipconn.NewListener(l, o)
}

// connDescriptors returns how many descriptors connections may use, of all that the process
// may open. If those are unknown, the limit that the kernel has for the process counts.
func connDescriptors(all int) int64 {
	n := int64(all)
	if all == 0 {
		var r unix.Rlimit
		if unix.Getrlimit(unix.RLIMIT_NOFILE, &r) == nil {
			n = int64(min(r.Cur, 1<<20))
		}
	}
	return n - min(fileDescriptors, n/2)
}

// logClosed returns a function that counts and logs the connections of a port that limits
// closed.
func (e *Entry) logClosed(p Port) func(string, cowslipconn.Reason) {
	var mu sync.Mutex
	var last time.Time
	n := 0
	return func(addr string, r cowslipconn.Reason) {
		e.metrics.connsClosed.Add(string(p)+"."+string(r), 1)
		mu.Lock()
		defer mu.Unlock()
		n++
		now := e.clock.Now()
		if d := now.Sub(last); d >= 0 && d < connLogInterval {
			return
		}
		e.log.Warn("connections closed", "port", string(p), "addr", addr, "reason", string(r), "closed", n)
		last, n = now, 0
	}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn returns a context for the requests of a connection.
func withConn(n net.Conn) context.Context {
	return context.WithValue(context.Background(), connKey{}, n)
}

// limitRequest refuses a request that the connections of its port leave no room for.
func limitRequest(ctx context.Context, c *app.RequestContext) {
	k, ok := ctx.Value(connKey{}).(*cowslipconn.Conn)
	if !ok {
		c.Next(ctx)
		return
	}
	if d := k.Begin(); d != cowslipconn.Admitted {
		sendRefusal(c, refuse(CodeOverloaded, "connections hold too much memory"))
		c.Response.Header.SetConnectionClose(true)
		c.Abort()
		return
	}
	defer k.End()
	c.Next(ctx)
}
