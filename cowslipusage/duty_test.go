package cowslipusage_test

import (
	"encoding/json"
	"flag"
	"testing"
	"time"

	"cowslipflow/cowslipusage"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

var seeds = flag.Int("usage.seeds", 6, "seeds of TestDutyUnderFailures for each failure")

// Each case drives one failure for 40 s and then lets the instances run for another 60 s.
// No rule of the platform may be broken at any time; once the failure is over, each window
// is reported in time with the true counts.
func TestDutyUnderFailures(t *testing.T) {
	random := func(m *model) *instance { return m.instances[m.r.IntN(len(m.instances))] }
	now := func(m *model) *instance {
		for _, x := range m.instances {
			if x.reporter != nil {
				return x
			}
		}
		return random(m)
	}
	upTo := func(m *model, s float64) time.Time { return m.now.Add(seconds(m.r.Float64() * s)) }
	for name, disturb := range map[string]func(m *model){
		"none":              func(*model) {},
		"holder freezes":    func(m *model) { now(m).frozenUntil = upTo(m, 8) },
		"holder is cut off": func(m *model) { now(m).cutUntil = upTo(m, 8) },
		"holder restarts":   func(m *model) { m.start(now(m)) },
		"others restart":    func(m *model) { m.start(random(m)) },
		"store is away":     func(m *model) { m.storeDown = upTo(m, 10) },
		"interface is away": func(m *model) { m.platformDown = upTo(m, 10) },
		"interface is slow": func(m *model) { m.platformSlow = m.r.IntN(2) == 0 },
		"too many calls":    func(m *model) { m.tooMany = upTo(m, 5) },
		"clock jumps": func(m *model) {
			x := m.instances[4*m.r.IntN(2)] // the others are right
			x.ahead = seconds(m.r.Float64()*20 - 10)
			m.start(x)
		},
		"all restart at once": func(m *model) {
			for _, x := range m.instances {
				m.start(x)
				x.frozenUntil = m.now.Add(time.Second)
			}
		},
		"everything": func(m *model) {
			switch m.r.IntN(5) {
			case 0:
				now(m).frozenUntil = upTo(m, 8)
			case 1:
				random(m).cutUntil = upTo(m, 8)
			case 2:
				m.start(random(m))
			case 3:
				m.storeDown = upTo(m, 6)
			default:
				m.platformDown = upTo(m, 6)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*seeds) {
				m := newModel(seed, 5)
				m.run(20*time.Second, func() {})
				m.run(40*time.Second, func() {
					if m.r.IntN(60) == 0 {
						disturb(m)
					}
				})
				m.platformSlow, m.tooMany, m.reliable = false, time.Time{}, true
				// The last failure goes on for up to 10 s, and a takeover takes as long.
				calm := m.now.Add(20 * time.Second)
				m.run(60*time.Second, func() {})
				require.Empty(t, m.summary(), "seed %d", seed)
				for k := cowslipusage.WindowAt(calm, window) + 1; cowslipusage.WindowEnd(k, window).Before(m.now.Add(-late)); k++ {
					require.Contains(t, m.bodies, k, "seed %d", seed)
					assert.LessOrEqual(t, m.reportedAt[k].Sub(cowslipusage.WindowEnd(k, window)), late, "seed %d, window %d", seed, k)
					var b struct{ Counts map[string]uint64 }
					require.NoError(t, json.Unmarshal([]byte(m.bodies[k]), &b))
					for w, n := range m.began[k] {
						assert.InEpsilon(t, n, b.Counts[w], 0.05, "seed %d, window %d, workspace %s", seed, k, w)
					}
				}
			}
		})
	}
}
