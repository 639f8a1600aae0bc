package cowslipplatform_test

import (
	"context"
	"net"
	"testing"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

// stores returns constructors of a stand-in platform and its Store, used either
// directly or through the HTTP adapter.
func stores(t *testing.T) map[string]func() (*cowslipplatform.Store, *cowslipstandin.Platform) {
	return map[string]func() (*cowslipplatform.Store, *cowslipstandin.Platform){
		"direct": func() (*cowslipplatform.Store, *cowslipstandin.Platform) {
			p := cowslipstandin.NewPlatform(nil)
			return p.Store("e1"), p
		},
		"http": func() (*cowslipplatform.Store, *cowslipstandin.Platform) {
			p := cowslipstandin.NewPlatform(nil)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			ctx, cancel := context.WithCancel(context.Background())
			t.Cleanup(cancel)
			go func() { _ = cowslipstandin.ServePlatform(ctx, l, p) }()
			return cowslipplatform.NewHTTP("http://"+l.Addr().String(), "e1"), p
		},
	}
}

// TestContract checks the behaviour that every Store must have.
func TestContract(t *testing.T) {
	for name, open := range stores(t) {
		t.Run(name, func(t *testing.T) {
			s, p := open()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := s.Get(ctx, "a/1")
			require.ErrorIs(t, err, cowslipplatform.ErrNotFound)

			r, err := s.Put(ctx, cowslipplatform.Write{Key: "a/1", Data: []byte("x")})
			require.NoError(t, err)
			_, err = s.Put(ctx, cowslipplatform.Write{Key: "a/1", Data: []byte("y")})
			require.ErrorIs(t, err, cowslipplatform.ErrConflict, "create if absent")
			r2, err := s.Put(ctx, cowslipplatform.Write{Key: "a/1", Data: []byte("y"), Expect: r})
			require.NoError(t, err)
			require.True(t, r2.After(r))
			_, err = s.Put(ctx, cowslipplatform.Write{Key: "a/1", Data: []byte("z"), Expect: r})
			require.ErrorIs(t, err, cowslipplatform.ErrConflict)
			v, err := s.Get(ctx, "a/1")
			require.NoError(t, err)
			require.Equal(t, cowslipplatform.Value{Key: "a/1", Data: []byte("y"), Revision: r2}, v)

			v, err = s.Watch(ctx, "a/1", r, time.Minute)
			require.NoError(t, err)
			require.Equal(t, r2, v.Revision, "returns at once, since the value has changed")
			v, err = s.Watch(ctx, "a/1", r2, 10*time.Millisecond)
			require.NoError(t, err)
			require.Equal(t, r2, v.Revision, "unchanged when the wait has elapsed")

			lease, err := s.Grant(ctx, time.Minute)
			require.NoError(t, err)
			_, err = s.Put(ctx, cowslipplatform.Write{Key: "a/2", Lease: lease})
			require.NoError(t, err)
			require.NoError(t, s.KeepAlive(ctx, lease))
			l, err := s.List(ctx, "a/")
			require.NoError(t, err)
			require.Len(t, l, 2)
			require.NoError(t, s.Revoke(ctx, lease))
			require.ErrorIs(t, s.KeepAlive(ctx, lease), cowslipplatform.ErrLeaseExpired)
			l, err = s.List(ctx, "a/")
			require.NoError(t, err)
			require.Len(t, l, 1)

			require.ErrorIs(t, s.Delete(ctx, "a/1", r), cowslipplatform.ErrConflict)
			require.NoError(t, s.Delete(ctx, "a/1", r2))

			i := cowslipplatform.Instance{ID: "t1", Service: "diaries", Addr: "127.0.0.1:1", FailureDomain: "cerro", Version: "v1", Leaving: true}
			p.SetInstance(i)
			n, err := s.Instances(ctx)
			require.NoError(t, err)
			require.Equal(t, []cowslipplatform.Instance{i}, n)

			p.SetFaults(cowslipstandin.PlatformFaults{LoseWrites: 1})
			_, err = s.Put(ctx, cowslipplatform.Write{Key: "b"})
			require.Error(t, err)
			require.NotErrorIs(t, err, cowslipplatform.ErrConflict, "the outcome is unknown")
			_, err = s.Get(ctx, "b")
			require.NoError(t, err, "the write took effect")

			p.SetFaults(cowslipstandin.PlatformFaults{Down: true})
			short, stop := context.WithTimeout(ctx, 20*time.Millisecond)
			defer stop()
			_, err = s.Get(short, "b")
			require.Error(t, err)
			require.NotErrorIs(t, err, cowslipplatform.ErrNotFound)
		})
	}
}
