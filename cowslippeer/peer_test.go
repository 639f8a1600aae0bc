package cowslippeer_test

import (
	"context"
	"net"
	"testing"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"

	"github.com/stretchr/testify/require"
)

func TestExchangeAndEvents(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	s := &cowslippeer.Server{
		OnExchange: func(_ context.Context, m *cowslipmessage.State) (*cowslipmessage.State, error) {
			return &cowslipmessage.State{Id: "e2", Revision: m.GetRevision() + 1}, nil
		},
		OnEvents: func(context.Context, *cowslipmessage.EventsRequest) (*cowslipmessage.EventsReply, error) {
			return &cowslipmessage.EventsReply{Events: []*cowslipmessage.Event{{Kind: "confirmed"}}}, nil
		},
	}
	done := make(chan error)
	go func() { done <- s.Serve(ctx, l) }()
	c := &cowslippeer.Client{Addr: l.Addr().String()}
	for i := range uint64(3) {
		r, err := c.Exchange(ctx, &cowslipmessage.State{Id: "e1", Revision: i})
		require.NoError(t, err)
		require.Equal(t, i+1, r.GetRevision())
	}
	e, err := c.Events(ctx, &cowslipmessage.EventsRequest{})
	require.NoError(t, err)
	require.Equal(t, "confirmed", e.GetEvents()[0].GetKind())
	c.Close()
	cancel()
	require.NoError(t, <-done)
	_, err = c.Exchange(t.Context(), &cowslipmessage.State{})
	require.True(t, cowslippeer.IsConnectionRefused(err), "%v", err)
}
