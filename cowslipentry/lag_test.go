package cowslipentry

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Samples of requests that end at the same time must all count.
func TestLagOfConcurrentRequests(t *testing.T) {
	const samples = 64
	for range 200 {
		var l, want lag
		var w sync.WaitGroup
		for range samples {
			w.Go(func() { l.observe(time.Second) })
			want.observe(time.Second)
		}
		w.Wait()
		require.Equal(t, want.average(time.Hour), l.average(time.Hour))
	}
}

func TestLag(t *testing.T) {
	var l lag
	require.Zero(t, l.average(time.Second))
	for range 20 {
		l.observe(8 * time.Millisecond)
	}
	require.InDelta(t, 8, l.average(time.Second).Seconds()*1000, 0.1)
	require.Equal(t, 5*time.Millisecond, l.average(5*time.Millisecond))
	for range 20 {
		l.observe(0)
	}
	require.Less(t, l.average(time.Second), 100*time.Microsecond)
}
