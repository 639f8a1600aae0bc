package cowslippeer

import (
	"context"

	"cowslipflow/cowslipconn"
	"cowslipflow/cowslipmessage"

	"storj.io/drpc/drpcctx"
)

// beginCall asks the account of the connection that a call came on whether the call may run.
// The connection then stays open until end is called. A connection without an account has no
// limits.
func beginCall(ctx context.Context) (end func(), err error) {
	t, _ := drpcctx.Transport(ctx)
	c, ok := t.(*cowslipconn.Conn)
	if !ok {
		return func() {}, nil
	}
	if c.Begin() != cowslipconn.Admitted {
		return nil, errFull
	}
	return c.End, nil
}

// serve runs a call whose message has been read.
func serve[T, U any](ctx context.Context, m T, f func(context.Context, T) (U, error)) (U, error) {
	end, err := beginCall(ctx)
	if err != nil {
		var none U
		return none, err
	}
	defer end()
	return f(ctx, m)
}

// limitedStream is a stream whose call begins once its first message has been read. Until
// then, what the peer sends counts as a request that is not complete.
type limitedStream struct {
	cowslipmessage.DRPCPeer_RelayStream
	ended func() // nil before the call begins
}

// Recv waits for the next message.
func (l *limitedStream) Recv() (*cowslipmessage.RelayRequest, error) {
	m, err := l.DRPCPeer_RelayStream.Recv()
	if err != nil || l.ended != nil {
		return m, err
	}
	l.ended, err = beginCall(l.Context())
	return m, err
}

func (l *limitedStream) end() {
	if l.ended != nil {
		l.ended()
	}
}
