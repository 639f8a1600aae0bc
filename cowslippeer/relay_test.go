package cowslippeer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"

	"github.com/stretchr/testify/require"
)

// relayServer starts a server that handles relayed requests with f, and returns its
// address.
func relayServer(t *testing.T, f func(cowslipmessage.DRPCPeer_RelayStream) error) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() { done <- (&cowslippeer.Server{OnRelay: f}).Serve(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-done)
	})
	return l.Addr().String()
}

// acceptingPeer returns a handler that accepts every request after a delay and
// counts the requests that it is told to begin.
func acceptingPeer(begun *atomic.Int64, delay time.Duration) func(cowslipmessage.DRPCPeer_RelayStream) error {
	return func(s cowslipmessage.DRPCPeer_RelayStream) error {
		r, err := s.Recv()
		if err != nil {
			return err
		}
		time.Sleep(delay)
		if err := s.Send(&cowslipmessage.RelayReply{Taken: true}); err != nil {
			return err
		}
		if b, err := s.Recv(); err != nil || !b.GetBegin() {
			return err
		}
		begun.Add(1)
		return s.Send(&cowslipmessage.RelayReply{Taken: true, Kind: "gathered", Reason: r.GetId()})
	}
}

// Requests are relayed to peers that accept, refuse, answer too late (as after a
// process pause), do not answer, or fail after accepting. A request that is not
// accepted in time must never begin, since its sender has meanwhile offered it to
// another instance.
func TestRelayer(t *testing.T) {
	const acceptTimeout = 200 * time.Millisecond
	var begun atomic.Int64
	for _, c := range []struct {
		name           string
		serve          func(cowslipmessage.DRPCPeer_RelayStream) error
		accepted, fail bool
		begun          int64
	}{
		{"answered", acceptingPeer(&begun, 0), true, false, 2},
		{"wakes too late", acceptingPeer(&begun, acceptTimeout+50*time.Millisecond), false, true, 0},
		{"refused", func(s cowslipmessage.DRPCPeer_RelayStream) error {
			r, err := s.Recv()
			if err != nil {
				return err
			}
			return s.Send(&cowslipmessage.RelayReply{Reason: r.GetId()})
		}, false, false, 0},
		{"silent", func(s cowslipmessage.DRPCPeer_RelayStream) error {
			<-s.Context().Done()
			return nil
		}, false, true, 0},
		{"taken and lost", func(s cowslipmessage.DRPCPeer_RelayStream) error {
			return s.Send(&cowslipmessage.RelayReply{Taken: true})
		}, true, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			begun.Store(0)
			a := relayServer(t, c.serve)
			y := &cowslippeer.Relayer{}
			defer y.Close()
			for _, id := range []string{"q1", "q2"} {
				x, err := y.Relay(t.Context(), a, &cowslipmessage.RelayRequest{Id: id}, acceptTimeout)
				require.Equal(t, c.fail, err != nil, "%v", err)
				require.Equal(t, c.accepted, x.Accepted)
				if err == nil {
					require.Equal(t, id, x.Reply.GetReason())
				}
			}
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, c.begun, begun.Load())
		})
	}
}

// A request to an address where no process listens is not accepted.
func TestRelayerFindsNobody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l.Close()
	x, err := new(cowslippeer.Relayer).Relay(t.Context(), l.Addr().String(), &cowslipmessage.RelayRequest{}, time.Second)
	require.Error(t, err)
	require.False(t, x.Accepted)
}

// A peer that replies twice breaks the protocol: its second reply could be taken for that
// to the next request on the connection, so the connection is closed.
func TestRelayerRejectsASecondReply(t *testing.T) {
	for _, accept := range []bool{true, false} {
		ended := make(chan error, 1)
		a := relayServer(t, func(s cowslipmessage.DRPCPeer_RelayStream) error {
			if _, err := s.Recv(); err != nil {
				return err
			}
			if accept {
				if err := s.Send(&cowslipmessage.RelayReply{Taken: true}); err != nil {
					return err
				}
				if _, err := s.Recv(); err != nil {
					return err
				}
			}
			if err := s.Send(&cowslipmessage.RelayReply{Reason: "reply"}); err != nil {
				return err
			}
			// The caller may close the connection before the second Send returns.
			err := s.Send(&cowslipmessage.RelayReply{Reason: "reply"})
			<-s.Context().Done()
			ended <- s.Context().Err()
			return err
		})
		var y cowslippeer.Relayer
		_, err := y.Relay(t.Context(), a, &cowslipmessage.RelayRequest{}, time.Second)
		require.ErrorContains(t, err, "second reply in the stream")
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Fatal("the connection is not closed")
		}
		y.Close()
	}
}

// When the caller disconnects, the request is cancelled at the peer that serves it,
// whether the peer has been told to begin or not. The peer must have read all messages
// sent to it: a stream with an unread message hands on no cancellation, since drpc
// delivers messages in order.
func TestRelayerCancels(t *testing.T) {
	for _, c := range []struct {
		name       string
		afterBegin bool // the caller leaves once the peer has begun, not once it has accepted
	}{{"while the peer serves the request", true}, {"while the peer waits to begin", false}} {
		t.Run(c.name, func(t *testing.T) {
			leave, ended := make(chan bool), make(chan bool, 1)
			a := relayServer(t, func(s cowslipmessage.DRPCPeer_RelayStream) error {
				if _, err := s.Recv(); err != nil {
					return err
				}
				if err := s.Send(&cowslipmessage.RelayReply{Taken: true}); err != nil {
					return err
				}
				if !c.afterBegin {
					close(leave)
				}
				if b, err := s.Recv(); err == nil && b.GetBegin() {
					if c.afterBegin {
						close(leave)
					}
					<-s.Context().Done()
				}
				ended <- true
				return nil
			})
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				<-leave
				cancel()
			}()
			_, err := new(cowslippeer.Relayer).Relay(ctx, a, &cowslipmessage.RelayRequest{}, time.Second)
			require.Error(t, err)
			select {
			case <-ended:
			case <-time.After(500 * time.Millisecond):
				t.Fatal("the peer still serves the request half a second after the caller has left")
			}
		})
	}
}
