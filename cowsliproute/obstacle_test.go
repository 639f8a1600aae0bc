package cowsliproute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Guards against an explanation that names another obstacle than the one that keeps Pick from
// choosing a replica, or none.
func TestObstaclesAreThoseOfPick(t *testing.T) {
	// Pauses are kept relative to the start of the process.
	now := time.Now()
	for _, c := range []struct {
		name    string
		change  func(*cowsliproute.Target)
		options cowsliproute.PickOptions
		want    cowsliproute.Obstacle
	}{
		{name: "none"},
		{name: "version", options: cowsliproute.PickOptions{Version: cowsliproute.OnlyVersion("v2")}, want: cowsliproute.OtherVersion},
		{name: "failure domain", options: cowsliproute.PickOptions{OwnDomainOnly: true}, want: cowsliproute.OtherDomain},
		{name: "leaving", change: func(x *cowsliproute.Target) { x.SetLeaving(true); x.Suspend() }, want: cowsliproute.Leaving},
		{name: "suspended", change: func(x *cowsliproute.Target) { x.Suspend(); x.SetLimit(0) }, want: cowsliproute.Suspended},
		{name: "no limit", change: func(x *cowsliproute.Target) { x.SetLimit(0) }, want: cowsliproute.NoLimit},
		{name: "at its limit", change: func(x *cowsliproute.Target) { x.SetLimit(1); x.Acquire() }, want: cowsliproute.AtLimit},
		{name: "paused", change: func(x *cowsliproute.Target) { x.Pause(now.Add(time.Second)); x.SetPace(now, 1, 1) }, want: cowsliproute.Paused},
		{name: "pause over", change: func(x *cowsliproute.Target) { x.Pause(now.Add(-time.Second)) }},
		{name: "paced", change: func(x *cowsliproute.Target) {
			x.SetPace(now, 1, 1)
			// Takes the only token.
			cowsliproute.NewView(cowsliproute.ViewOptions{}).Pick([]*cowsliproute.Target{x}, cowsliproute.PickOptions{Now: now}, rand.New(rand.NewPCG(1, 2))).Release()
		}, want: cowsliproute.Paced},
		{name: "busy", change: func(x *cowsliproute.Target) { x.SetLoad(2) }, options: cowsliproute.PickOptions{IdleOnly: true}, want: cowsliproute.WouldQueue},
		{name: "busy, and may queue", change: func(x *cowsliproute.Target) { x.SetLoad(2) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "plan"})
			x := replicas(1)[0]
			if c.change != nil {
				c.change(x)
			}
			c.options.Now = now
			require.Equal(t, c.want, v.Obstacle(x, c.options))
			picked := v.Pick([]*cowsliproute.Target{x}, c.options, rand.New(rand.NewPCG(1, 2)))
			require.Equal(t, c.want == "", picked != nil)
			c.options.Exclude = []*cowsliproute.Target{x}
			require.NotEmpty(t, v.Obstacle(x, c.options))
		})
	}
}
