package cowslipcapacity_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"cowslipflow/cowslipcapacity"

	"github.com/stretchr/testify/require"
)

func key(i int) cowslipcapacity.Key {
	return cowslipcapacity.Key{ID: fmt.Sprint("t", i), Incarnation: "1"}
}

func all(cowslipcapacity.Source) bool { return true }

// feed gives a table samples of three targets with the given speeds, one each a period.
func feed(t *cowslipcapacity.Table, from time.Time, d, period time.Duration, speeds ...float64) time.Time {
	for at := from; at.Before(from.Add(d)); at = at.Add(period) {
		for i, v := range speeds {
			t.Observe("s", key(i), cowslipcapacity.Sample{At: at, Latency: 1 / v, Slots: 2, Slowdown: 1})
		}
	}
	return from.Add(d)
}

func speeds(l []cowslipcapacity.Published) map[string]float64 {
	m := map[string]float64{}
	for _, p := range l {
		m[p.ID] = p.Speed
	}
	return m
}

// Guards against fixed weights: the speeds of the targets of a service are found, and a change
// of one is followed within eight seconds.
func TestSpeedsAreLearnedAndFollowed(t *testing.T) {
	var x cowslipcapacity.Table
	at := feed(&x, t0, 10*time.Second, 200*time.Millisecond, 0.8, 1, 1.3)
	m := speeds(x.Publish(at))
	require.InDelta(t, 0.8, m["t0"]/m["t1"], 0.08)
	require.InDelta(t, 1.3, m["t2"]/m["t1"], 0.13)
	at = feed(&x, at, 8*time.Second, 200*time.Millisecond, 0.8, 1, 0.26)
	m = speeds(x.Publish(at))
	require.Less(t, m["t2"]/m["t1"], 0.55)
}

// Guards against few samples at each of many instances: what others tell makes an estimate that
// one instance alone does not have, and lapses when they are silent.
func TestEstimatesArePooled(t *testing.T) {
	var own cowslipcapacity.Table
	feed(&own, t0, 200*time.Millisecond, 200*time.Millisecond, 1, 1, 1)
	at := t0.Add(time.Second)
	require.Empty(t, own.Publish(at))
	for i := range 6 {
		var o cowslipcapacity.Table
		feed(&o, t0, time.Second, 200*time.Millisecond, 0.5, 1, 2)
		l := o.Estimates(at, all, 10)
		require.Len(t, l, 3)
		own.Merge(at, cowslipcapacity.Source{ID: fmt.Sprint("e", i)}, l)
	}
	m := speeds(own.Publish(at))
	require.InDelta(t, 0.5, m["t0"]/m["t1"], 0.05)
	require.InDelta(t, 2, m["t2"]/m["t1"], 0.2)
	require.Empty(t, own.Publish(at.Add(6*time.Second)))
}

// Guards against what one instance told coming back to it, or to its failure domain, as if
// another one had learned it too.
func TestEstimatesDoNotComeBack(t *testing.T) {
	var x, o cowslipcapacity.Table
	at := feed(&x, t0, time.Second, 200*time.Millisecond, 1, 1)
	feed(&o, t0, time.Second, 200*time.Millisecond, 4, 4)
	s := cowslipcapacity.Source{ID: "e2", FailureDomain: "b"}
	x.Merge(at, s, o.Estimates(at, all, 10))
	for _, e := range x.Estimates(at, func(s cowslipcapacity.Source) bool { return s.FailureDomain != "b" }, 10) {
		require.InDelta(t, 1, e.Latency, 0.01)
	}
}

// Guards against peers that tell figures out of range.
func TestOddEstimatesAreIgnored(t *testing.T) {
	var x cowslipcapacity.Table
	at := feed(&x, t0, 4*time.Second, 200*time.Millisecond, 1, 1)
	for i, e := range []cowslipcapacity.Estimate{
		{Latency: math.NaN(), Weight: 9}, {Latency: math.Inf(1), Weight: 9}, {Latency: 1, Weight: math.Inf(1)}, {Latency: -1, Weight: 9}, {Latency: 1e9, Weight: 9}, {Latency: 1, Weight: 9, Limit: -1}, {Latency: 1, Weight: 9, Age: -1},
	} {
		e.Key = key(0)
		x.Merge(at, cowslipcapacity.Source{ID: fmt.Sprint(i)}, []cowslipcapacity.Estimate{e})
	}
	require.InDelta(t, 1, speeds(x.Publish(at))["t0"], 0.01)
}

// Guards against a table that grows with targets that are gone, or with unknown ones that
// peers tell of.
func TestTableForgets(t *testing.T) {
	var x cowslipcapacity.Table
	at := feed(&x, t0, 4*time.Second, 200*time.Millisecond, 1, 1)
	x.Merge(at, cowslipcapacity.Source{ID: "e2"}, []cowslipcapacity.Estimate{{Key: key(7), Latency: 1, Weight: 9}})
	require.False(t, x.Knows(key(7)))
	require.True(t, x.Knows(key(0)))
	x.Publish(at.Add(2 * time.Minute))
	require.False(t, x.Knows(key(0)))
}

func BenchmarkObserve(b *testing.B) {
	var x cowslipcapacity.Table
	for i := range b.N {
		x.Observe("s", key(i%3), cowslipcapacity.Sample{At: t0.Add(time.Duration(i) * time.Millisecond), Latency: 1, Load: i % 3, Slots: 2, Slowdown: 1})
	}
}
