package cowslipquery_test

import (
	"flag"
	"testing"
	"time"

	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The fixed seed makes the property tests draw the same cases in every run.
func init() { flag.Set("rapid.seed", "1") }

// Whatever the targets do and in whatever order their answers arrive, the result
// states its coverage correctly and is on time, and all slots are released.
func TestAnyCourseIsHonest(t *testing.T) {
	outcomes := []cowsliptarget.Outcome{
		cowsliptarget.OK, cowsliptarget.OK, cowsliptarget.OK, cowsliptarget.NotSent, cowsliptarget.Shed, cowsliptarget.Leaving, cowsliptarget.WrongVersion,
		cowsliptarget.Expired, cowsliptarget.Failed, cowsliptarget.Lost, cowsliptarget.Corrupt,
	}
	rapid.Check(t, func(t *rapid.T) {
		var s []cowsliproute.Snapshot
		for v := range rapid.IntRange(1, 3).Draw(t, "versions") {
			count := 1 << rapid.IntRange(0, 5).Draw(t, "shards")
			lost := rapid.SliceOfN(rapid.IntRange(0, count-1), 0, 2).Draw(t, "lost")
			s = append(s, snapshot(uint64(v+1), count, lost...))
		}
		w := newQueryHarness(t, func(int, cowslipquery.Action) targetReply {
			o := rapid.SampledFrom(outcomes).Draw(t, "outcome")
			return targetReply{
				after: time.Duration(rapid.IntRange(0, 500).Draw(t, "millis")) * ms, outcome: o,
				crashed: o == cowsliptarget.Lost && rapid.Bool().Draw(t, "crashed"),
			}
		}, s...)
		r := w.run(w.query(func(o *cowslipquery.Options) { o.AcceptStale = rapid.Bool().Draw(t, "last") }))
		if r.Stale {
			return
		}
		requireConsistent(t, r)
		require.False(t, w.now.After(t0.Add(deadline)))
		requireSlotsReleased(t, w)
	})
}

// Cover returns the same coverage as marking each key separately.
func TestCoverArithmetic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l []cowslipquery.Range
		marked := make([]bool, cowsliptarget.KeySpace)
		for range rapid.IntRange(0, 12).Draw(t, "ranges") {
			lo := rapid.Uint32Range(0, cowsliptarget.KeySpace+10).Draw(t, "lo")
			hi := rapid.Uint32Range(0, cowsliptarget.KeySpace+10).Draw(t, "hi")
			l = append(l, cowslipquery.Range{Lo: lo, Hi: hi})
			for k := lo; k < min(hi, cowsliptarget.KeySpace); k++ {
				marked[k] = true
			}
		}
		c := cowslipquery.Cover(l)
		n := 0
		for k, m := range marked {
			if m {
				n++
			}
			missing := false
			for _, r := range c.Missing {
				missing = missing || uint32(k) >= r.Lo && uint32(k) < r.Hi
			}
			if m == missing {
				t.Fatalf("key %d: marked %v, stated as missing %v", k, m, missing)
			}
		}
		require.Equal(t, float64(n)/cowsliptarget.KeySpace, c.Fraction)
	})
}
