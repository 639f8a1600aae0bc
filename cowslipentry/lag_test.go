package cowslipentry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

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
