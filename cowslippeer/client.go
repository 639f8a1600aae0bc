package cowslippeer

import (
	"context"
	"net"
	"sync"
	"syscall"

	"cowslipflow/cowslipmessage"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"
)

// Client calls one entry instance, over one connection that it opens on demand.
// Calls are serialized. Set Addr before the first call; Dial, if not nil, opens the
// connection. It is safe for concurrent use.
type Client struct {
	Addr string
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)

	mu   sync.Mutex
	conn *drpcconn.Conn
}

// Exchange sends this instance's state to the peer and returns the peer's state.
func (c *Client) Exchange(ctx context.Context, m *cowslipmessage.State) (*cowslipmessage.State, error) {
	return call(ctx, c, func(p cowslipmessage.DRPCPeerClient) (*cowslipmessage.State, error) { return p.Exchange(ctx, m) })
}

// Events returns the peer's part of the timeline.
func (c *Client) Events(ctx context.Context, r *cowslipmessage.EventsRequest) (*cowslipmessage.EventsReply, error) {
	return call(ctx, c, func(p cowslipmessage.DRPCPeerClient) (*cowslipmessage.EventsReply, error) { return p.Events(ctx, r) })
}

// Follow long-polls the peer's copy of the store for changes after a revision.
func (c *Client) Follow(ctx context.Context, r *cowslipmessage.FollowRequest) (*cowslipmessage.FollowReply, error) {
	return call(ctx, c, func(p cowslipmessage.DRPCPeerClient) (*cowslipmessage.FollowReply, error) { return p.Follow(ctx, r) })
}

// Usage gives the peer, the holder of the usage duty, this instance's counts.
func (c *Client) Usage(ctx context.Context, r *cowslipmessage.UsageReport) (*cowslipmessage.UsageReply, error) {
	return call(ctx, c, func(p cowslipmessage.DRPCPeerClient) (*cowslipmessage.UsageReply, error) { return p.Usage(ctx, r) })
}

// Warn reports targets that crashed under a wide request.
func (c *Client) Warn(ctx context.Context, w *cowslipmessage.CrashWarning) error {
	_, err := call(ctx, c, func(p cowslipmessage.DRPCPeerClient) (*cowslipmessage.CrashWarningReply, error) {
		return p.Warn(ctx, w)
	})
	return err
}

// Learn sends what this instance has learned about targets and returns what the peer has.
func (c *Client) Learn(ctx context.Context, m *cowslipmessage.TargetEstimates) (*cowslipmessage.TargetEstimates, error) {
	return call(ctx, c, func(p cowslipmessage.DRPCPeerClient) (*cowslipmessage.TargetEstimates, error) { return p.Learn(ctx, m) })
}

// Close closes the connection.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeConn()
}

// IsConnectionRefused reports whether err means that the peer's host answered, but
// that no process listens at the address.
func IsConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

func (c *Client) closeConn() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

func call[T any](ctx context.Context, c *Client, f func(cowslipmessage.DRPCPeerClient) (T, error)) (T, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var z T
	if c.conn == nil {
		dial := c.Dial
		if dial == nil {
			dial = new(net.Dialer).DialContext
		}
		n, err := dial(ctx, "tcp", c.Addr)
		if err != nil {
			return z, errors.Annotate(err, "cowslippeer: dial")
		}
		c.conn = drpcconn.New(n)
	}
	r, err := f(cowslipmessage.NewDRPCPeerClient(c.conn))
	if err != nil {
		c.closeConn()
		return z, errors.Annotate(err, "cowslippeer: call")
	}
	return r, nil
}
