package cowsliproute_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// Instances that are short of CPU pass wide queries on to relays. They must stop choosing
// a relay that fails or is paused.
func TestRelay(t *testing.T) {
	const stallTimeout = 200 * time.Millisecond
	for _, c := range []struct {
		name   string
		change func(near, other, far *cowsliproute.Relay)
		after  time.Duration
		want   []string
	}{
		{"the own failure domain first", func(_, _, _ *cowsliproute.Relay) {}, 0, []string{"near", "other"}},
		{"one is avoided", func(n, _, _ *cowsliproute.Relay) { n.Avoid(t0.Add(time.Second)) }, 0, []string{"other"}},
		{"no longer avoided", func(n, _, _ *cowsliproute.Relay) { n.Avoid(t0.Add(time.Second)) }, time.Second, []string{"near", "other"}},
		{"one stands still", func(n, _, _ *cowsliproute.Relay) { n.RequestStarted(t0) }, stallTimeout + 1, []string{"other"}},
		{"one is at work", func(n, _, _ *cowsliproute.Relay) { n.RequestStarted(t0) }, stallTimeout, []string{"near", "other"}},
		{"one ended a request lately", func(n, _, _ *cowsliproute.Relay) {
			n.RequestStarted(t0)
			n.RequestStarted(t0)
			n.RequestEnded(t0.Add(stallTimeout))
		}, stallTimeout + 1, []string{"near", "other"}},
		{"none near", func(n, o, _ *cowsliproute.Relay) {
			n.Avoid(t0.Add(time.Second))
			o.Avoid(t0.Add(time.Second))
		}, 0, []string{"far"}},
		{"none at all", func(n, o, f *cowsliproute.Relay) {
			for _, x := range []*cowsliproute.Relay{n, o, f} {
				x.Avoid(t0.Add(time.Second))
			}
		}, 0, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			n, o, f := cowsliproute.NewRelay("near", "1", "cerro"), cowsliproute.NewRelay("other", "2", "cerro"), cowsliproute.NewRelay("far", "3", "plan")
			v := cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro", Relays: []*cowsliproute.Relay{f, n, o}})
			c.change(n, o, f)
			r := rand.New(rand.NewPCG(1, 2))
			seen := map[string]bool{}
			for range 50 {
				if x := v.PickRelay(t0.Add(c.after), stallTimeout, r); x != nil {
					seen[x.ID()] = true
				}
			}
			require.Len(t, seen, len(c.want))
			for _, w := range c.want {
				require.True(t, seen[w], w)
			}
		})
	}
}
