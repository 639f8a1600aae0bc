package cowsliproute_test

import (
	"sync/atomic"
	"testing"

	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Guards against an explanation that takes the only canary, so that a request that is sent gets
// none, and against one of other versions than requests get.
func TestVersionRuleChangesNothing(t *testing.T) {
	busy := &atomic.Bool{}
	s := cowsliproute.NewService(cowsliproute.ServiceOptions{Move: &cowsliproute.MoveView{From: "v1", To: "v2", Canary: true, RouteShares: map[string]float64{"shared": 0.25}, CanaryInFlight: busy}})
	for range 2 {
		r := s.VersionRule("r")
		require.True(t, r.Canary)
		require.Equal(t, "v1", r.Usual.Preferred.String())
		require.False(t, busy.Load())
	}
	p, release := s.ChooseVersions("r", 0.9)
	require.Equal(t, s.VersionRule("r").Moved, p)
	release()
	r := s.VersionRule("shared")
	require.False(t, r.Canary)
	require.InDelta(t, 0.25, r.MovedShare, 0)
	for draw, want := range map[float64]cowsliproute.VersionPreference{0.24: r.Moved, 0.25: r.Usual} {
		p, _ := s.ChooseVersions("shared", draw)
		require.Equal(t, want, p)
	}
}
