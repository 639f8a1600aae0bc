package cowslipusage_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipusage"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const window = 5 * time.Second

var start = cowslipusage.WindowEnd(353445119, window)

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Failure: messages between instances and holder are repeated, lost or reordered, and a
// process ends in mid window. What a process sent last is counted once.
func TestCountsUnderRepeatsLossesAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := cowslipusage.NewCollector(window)
		want := map[int64]cowslipusage.Counts{}
		for i := range rapid.IntRange(1, 5).Draw(t, "processes") {
			n := &cowslipusage.Counter{}
			n.Correct(0)
			var sent []cowslipusage.Report
			at := start
			for range rapid.IntRange(1, 6).Draw(t, "reports") {
				for range rapid.IntRange(0, 5).Draw(t, "requests") {
					at = at.Add(seconds(rapid.Float64Range(0, 2).Draw(t, "gap")))
					n.Began(at, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"))
				}
				w, number := n.Report(at)
				sent = append(sent, cowslipusage.Report{ID: fmt.Sprint("e", i/2), Incarnation: fmt.Sprint(i), Now: at, Windows: w})
				if rapid.Bool().Draw(t, "answered") {
					n.Delivered(number)
				}
			}
			// A message whose answer arrived was received; any other one may be lost, or
			// received more than once and in any order.
			n.HolderChanged()
			w, _ := n.Report(at)
			sent = append(sent, cowslipusage.Report{ID: fmt.Sprint("e", i/2), Incarnation: fmt.Sprint(i), Now: at, Windows: w})
			for _, r := range rapid.Permutation(sent).Draw(t, "order") {
				for range rapid.IntRange(1, 2).Draw(t, "copies") {
					c.Add(at, r)
				}
			}
			for k, l := range w {
				if want[k] == nil {
					want[k] = cowslipusage.Counts{}
				}
				for x, m := range l {
					want[k][x] += m
				}
			}
		}
		// A successor that starts from the sums, and then gets some reports again, has
		// the same counts.
		b, err := c.Sums().Encode()
		require.NoError(t, err)
		s, err := cowslipusage.DecodeSums(b)
		require.NoError(t, err)
		d := cowslipusage.NewCollector(window)
		d.Load(s)
		for k, l := range want {
			require.Equal(t, l, c.Totals(k))
			require.Equal(t, l, d.Totals(k))
		}
	})
}

// Failure: the clocks of some instances are wrong by seconds, and messages are delayed.
func TestMedianTime(t *testing.T) {
	c := cowslipusage.NewCollector(window)
	add := func(at float64, id string, ahead, delay float64) {
		c.Add(start.Add(seconds(at)), cowslipusage.Report{ID: id, Incarnation: "1", Now: start.Add(seconds(at + ahead - delay))})
	}
	for i, ahead := range []float64{0, 0, 0, -7, 4} {
		add(0, fmt.Sprint("e", i), ahead, 0.01)
	}
	own := c.Correction(start)
	require.InDelta(t, -0.01, own.Seconds(), 1e-6)
	require.InDelta(t, 7, c.CorrectionFor("e3", own).Seconds(), 0.02)
	require.InDelta(t, -4, c.CorrectionFor("e4", own).Seconds(), 0.02)
	for i := range 3 {
		add(1, fmt.Sprint("e", i), 0, 3) // delayed, as the holder was frozen
	}
	require.InDelta(t, -0.01, c.Correction(start.Add(time.Second)).Seconds(), 0.01)
}

// Failure: a process whose clock is wrong counts before it knows the correction, or the
// correction changes. No request is lost or counted twice.
func TestCounterFollowsTheCorrection(t *testing.T) {
	c := &cowslipusage.Counter{}
	ahead := start.Add(seconds(12))
	c.Began(ahead.Add(seconds(1)), "a")
	w, _ := c.Report(ahead.Add(seconds(1)))
	require.Empty(t, w, "waits for the correction")
	c.Correct(seconds(-12))
	c.Began(ahead.Add(seconds(4)), "a")
	c.Began(ahead.Add(seconds(6)), "a")
	c.Correct(0)
	k := cowslipusage.WindowAt(start, window)
	require.Equal(t, uint64(2), c.Windows()[k]["a"])
	require.Equal(t, uint64(1), c.Windows()[k+1]["a"])

	alone := &cowslipusage.Counter{}
	alone.Began(start, "a")
	w, _ = alone.Report(start.Add(seconds(6)))
	require.Equal(t, uint64(1), w[k]["a"], "no holder can be reached")
	w, _ = alone.Report(start.Add(seconds(80)))
	require.Empty(t, w, "too old to be reported")
}
