package cowslippeer

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"cowslipflow/cowslipmessage"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
)

// maxIdlePerPeer limits the idle connections to each peer. An instance that relays
// its requests is short of CPU and has few requests in flight, so it needs few
// connections.
const maxIdlePerPeer = 4

// Relayer relays requests to peers, one at a time on each connection, and keeps
// idle connections for reuse. The zero value is ready to use; Dial, if not nil,
// opens connections. It is safe for concurrent use.
type Relayer struct {
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*drpcconn.Conn // by address
}

// RelayResult is the result of relaying a request to a peer.
type RelayResult struct {
	Accepted bool // the peer accepted the request and may have begun to execute it
	Reply    *cowslipmessage.RelayReply
}

// Relay relays a request to the peer at addr. The peer must accept or refuse it
// within acceptTimeout; otherwise the peer never executes it. If the peer refuses,
// the Reply of the result has Taken unset and states the reason. The end of ctx
// cancels the request at the peer.
func (y *Relayer) Relay(ctx context.Context, addr string, r *cowslipmessage.RelayRequest, acceptTimeout time.Duration) (RelayResult, error) {
	var x RelayResult
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := time.AfterFunc(acceptTimeout, cancel)
	defer late.Stop()
	c, err := y.acquire(ctx, addr)
	if err != nil {
		return x, errors.Annotate(err, "cowslippeer: dial")
	}
	s, err := cowslipmessage.NewDRPCPeerClient(c).Relay(ctx)
	if err == nil {
		err = x.exchange(s, r, late)
	}
	if err != nil {
		c.Close()
		return x, errors.Annotate(err, "cowslippeer: relay")
	}
	y.release(addr, c)
	return x, nil
}

// exchange offers the request to the peer and, if the peer accepts it in time, tells
// it to begin. It reads the replies up to the end of the stream, so that the
// connection can be reused.
func (x *RelayResult) exchange(s cowslipmessage.DRPCPeer_RelayClient, r *cowslipmessage.RelayRequest, late *time.Timer) error {
	if err := s.Send(r); err != nil {
		return err
	}
	p, err := s.Recv()
	if err != nil {
		return err
	}
	if !late.Stop() {
		return errors.New("peer accepted or refused the request too late")
	}
	if p.GetTaken() {
		x.Accepted = true
		if err := s.Send(&cowslipmessage.RelayRequest{Begin: true}); err != nil {
			return err
		}
		if p, err = s.Recv(); err != nil {
			return err
		}
	}
	x.Reply = p
	switch _, err := s.Recv(); {
	case err == nil:
		return errors.New("second reply in the stream")
	case !errors.Is(err, io.EOF):
		return errors.Annotate(err, "stream does not end after the reply")
	}
	return s.Close()
}

func (y *Relayer) acquire(ctx context.Context, addr string) (*drpcconn.Conn, error) {
	y.mu.Lock()
	for l := y.idle[addr]; len(l) > 0; l = y.idle[addr] {
		c := l[len(l)-1]
		y.idle[addr] = l[:len(l)-1]
		select {
		case <-c.Closed():
			continue
		default:
		}
		y.mu.Unlock()
		return c, nil
	}
	y.mu.Unlock()
	dial := y.Dial
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	n, err := dial(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return drpcconn.New(n), nil
}

func (y *Relayer) release(addr string, c *drpcconn.Conn) {
	y.mu.Lock()
	if y.idle == nil {
		y.idle = map[string][]*drpcconn.Conn{}
	}
	if l := y.idle[addr]; len(l) < maxIdlePerPeer {
		y.idle[addr] = append(l, c)
		c = nil
	}
	y.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// CloseIdle closes the idle connections to a peer. It is for a peer that has stopped
// responding, whose connections may be dead without an error.
func (y *Relayer) CloseIdle(addr string) {
	y.mu.Lock()
	l := y.idle[addr]
	delete(y.idle, addr)
	y.mu.Unlock()
	for _, c := range l {
		c.Close()
	}
}

// Close closes all idle connections.
func (y *Relayer) Close() {
	y.mu.Lock()
	all := y.idle
	y.idle = nil
	y.mu.Unlock()
	for _, l := range all {
		for _, c := range l {
			c.Close()
		}
	}
}
