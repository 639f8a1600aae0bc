package cowslipentry

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that panics in a planned stop, since a request begins just as the last one
// in flight has ended and the stop stops waiting for it.
func TestRequestsBeginWhileAStopWaits(t *testing.T) {
	const rounds, waiters, requesters = 20000, 4, 4
	var e Entry
	var w sync.WaitGroup
	for range requesters {
		w.Go(func() {
			for range rounds {
				e.requests.Begin()
				e.requests.End()
			}
		})
	}
	for range waiters {
		w.Go(func() {
			for range rounds {
				e.requests.Wait()
			}
		})
	}
	w.Wait()
	require.Zero(t, e.requests.n)
}

// The wait ends when what runs has ended, and not before.
func TestStopWaitsForWhatRuns(t *testing.T) {
	var r running
	r.Wait()
	end := make(chan bool)
	r.Go(func() { <-end })
	done := r.Idle()
	select {
	case <-done:
		require.Fail(t, "ended early")
	case <-time.After(10 * time.Millisecond):
	}
	close(end)
	<-done
}
