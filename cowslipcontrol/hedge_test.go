package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"

	"github.com/stretchr/testify/require"
)

// The hedge delay must follow the first samples within a second, not only after a
// whole latency window.
func TestHedgeFollowsTheFirstSamples(t *testing.T) {
	b := newWarmBench(t)
	require.Equal(t, 125*time.Millisecond, b.view.Service("diaries").HedgeAfter())
	for range 200 {
		b.c.Observe(cowslipcontrol.Sample{Target: b.target("d0"), Route: "search", Latency: 8 * time.Millisecond, At: b.now})
	}
	b.advance(b.now.Add(time.Second))
	require.InDelta(t, 8, b.view.Service("diaries").HedgeAfter().Milliseconds(), 1)
}
