package cowslipstandin_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

const (
	ttl  = 50 * time.Millisecond
	wait = 20 * time.Second // far longer than any wait that the tests expect
)

// A key that expires is a change like any other: a call that waits for changes gets it
// when it happens, though nobody else calls.
func TestExpiryWakesWatchers(t *testing.T) {
	for _, c := range []struct {
		name string
		put  func(s *cowslipplatform.Store) error
	}{
		{"of a lease", func(s *cowslipplatform.Store) error {
			l, err := s.Grant(t.Context(), ttl)
			if err != nil {
				return err
			}
			_, err = s.Put(t.Context(), cowslipplatform.Write{Key: "a/k", Lease: l})
			return err
		}},
		{"of a value", func(s *cowslipplatform.Store) error {
			_, err := s.Put(t.Context(), cowslipplatform.Write{Key: "a/k", TTL: ttl})
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := cowslipstandin.NewPlatform(nil).Store("")
			require.NoError(t, c.put(s))
			began := time.Now()
			l, _, err := s.Changes(t.Context(), "a/", cowslipplatform.NewRevision(0, 1), wait)
			require.NoError(t, err)
			require.Less(t, time.Since(began), wait)
			require.Len(t, l, 1)
			require.True(t, l[0].Removed)
		})
	}
}

// After a loss of data, who follows the changes must read everything again.
func TestRestoreDiscardsTheHistory(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	s := p.Store("")
	b := p.Backup()
	r, err := s.Put(t.Context(), cowslipplatform.Write{Key: "a/k"})
	require.NoError(t, err)
	p.Restore(b)
	_, _, err = s.Changes(t.Context(), "a/", r, wait)
	require.ErrorIs(t, err, cowslipplatform.ErrCompacted)
	l, err := s.Scan(t.Context(), "a/", false)
	require.NoError(t, err)
	require.Empty(t, l.Values)
}

// Requests that run while a target restarts end in the run that received them.
func TestRestartLeavesNoNegativeLoad(t *testing.T) {
	x, err := cowslipstandin.StartTarget("127.0.0.1:0", cowslipstandin.TargetOptions{ID: "h0", Service: "s", Version: "v1", Slots: 2, Queue: 4, Latency: 50 * time.Millisecond})
	require.NoError(t, err)
	defer x.Kill()
	c := cowsliptarget.NewClient(cowsliptarget.Options{})
	defer c.Close()
	ended := make(chan bool)
	for range 4 {
		go func() {
			_, _, _ = c.Record(t.Context(), x.Addr(), cowsliptarget.Record{ID: "q", Service: "s", DeadlineMillis: 1000})
			ended <- true
		}()
	}
	require.Eventually(t, func() bool { return len(x.Record().Runs) == 4 }, wait, time.Millisecond)
	require.NoError(t, x.Restart(0))
	for range 4 {
		<-ended
	}
	time.Sleep(200 * time.Millisecond) // the old run's requests have ended
	r, o := c.Status(t.Context(), x.Addr())
	require.Equal(t, cowsliptarget.OK, o)
	require.Zero(t, r.Running)
	require.Zero(t, r.Queued)
}
