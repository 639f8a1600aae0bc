package cowslippeer_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"

	"github.com/stretchr/testify/require"
)

// endlessFrames are bytes that a broken peer repeats without end: no frames at all, and
// frames of a message that never ends.
var endlessFrames = []struct {
	name string
	data []byte
}{
	{"zeros", make([]byte, 4096)},
	{"ones", bytes.Repeat([]byte{0xff}, 4096)},
	{"an endless message", append([]byte{2 << 1, 1, 1, 0x80, 0x10}, make([]byte, 2048)...)},
}

func writeEndlessly(c net.Conn, b []byte) {
	defer c.Close()
	for {
		if _, err := c.Write(b); err != nil {
			return
		}
	}
}

// Pattern: a bound for whatever a peer sends. The server must close a connection on which
// bytes come without end, and go on serving others.
func TestServerClosesEndlessConns(t *testing.T) {
	a := relayServer(t, func(s cowslipmessage.DRPCPeer_RelayStream) error {
		if _, err := s.Recv(); err != nil {
			return err
		}
		return s.Send(&cowslipmessage.RelayReply{Reason: "busy"})
	})
	for _, c := range endlessFrames {
		t.Run(c.name, func(t *testing.T) {
			n, err := net.Dial("tcp", a)
			require.NoError(t, err)
			closed := make(chan bool)
			go func() {
				writeEndlessly(n, c.data)
				close(closed)
			}()
			select {
			case <-closed:
			case <-time.After(10 * time.Second):
				n.Close()
				t.Fatal("the connection is not closed")
			}
			var y cowslippeer.Relayer
			defer y.Close()
			x, err := y.Relay(t.Context(), a, &cowslipmessage.RelayRequest{}, time.Second)
			require.NoError(t, err)
			require.Equal(t, "busy", x.Reply.GetReason())
		})
	}
}

// The client side must fail a call to such a peer, and a relayed request that was not
// accepted must count as not begun.
func TestClientClosesEndlessConns(t *testing.T) {
	for _, c := range endlessFrames {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			go func() {
				for {
					n, err := l.Accept()
					if err != nil {
						return
					}
					go func() { _, _ = io.Copy(io.Discard, n) }()
					go writeEndlessly(n, c.data)
				}
			}()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			k := &cowslippeer.Client{Addr: l.Addr().String()}
			defer k.Close()
			_, err = k.Exchange(ctx, &cowslipmessage.State{})
			require.Error(t, err)
			var y cowslippeer.Relayer
			defer y.Close()
			x, err := y.Relay(ctx, l.Addr().String(), &cowslipmessage.RelayRequest{}, time.Minute)
			require.Error(t, err)
			require.False(t, x.Accepted)
			require.NoError(t, ctx.Err(), "both calls must fail before their deadline")
		})
	}
}
