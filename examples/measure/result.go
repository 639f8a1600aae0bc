package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"cowslipflow/cowslipentry"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// result holds the measurements of one scenario. The latencies are those of answered
// queries, in microseconds.
type result struct {
	name                             string
	latency                          *hdrhistogram.Histogram
	asked, answered, refused, failed int
	coverage, extraLoad              float64
}

// sendQueries sends queries at a fixed rate, spread over all instances. It does not wait
// for an answer before it sends the next query.
func (f *fleet) sendQueries(rate int, length time.Duration) result {
	r := result{latency: hdrhistogram.New(1, 10_000_000, 3)}
	var mu sync.Mutex
	var w sync.WaitGroup
	t := time.NewTicker(time.Second / time.Duration(rate))
	defer t.Stop()
	for start := time.Now(); time.Since(start) < length; r.asked++ {
		at := <-t.C
		url := f.callers[r.asked%len(f.callers)]
		w.Go(func() {
			var a cowslipentry.QueryAnswer
			s, err := sendJSON(http.MethodPost, url+"/v1/query", cowslipentry.QueryRequest{Service: "diaries", Query: "household 4711"}, &a)
			d := time.Since(at)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil:
				r.failed++
			case s == http.StatusOK:
				r.answered++
				r.coverage += a.Answers[0].Coverage.Fraction
				_ = r.latency.RecordValue(d.Microseconds())
			case s == http.StatusServiceUnavailable:
				r.refused++
			default:
				r.failed++
			}
		})
	}
	w.Wait()
	r.coverage /= float64(max(r.answered, 1))
	return r
}

func printTable(l []result) {
	fmt.Println("| scenario | asked | answered | refused | failed | p50 ms | p99 ms | p99.9 ms | p99 over no fault | coverage | extra load |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |")
	base := float64(l[0].latency.ValueAtQuantile(99))
	for _, r := range l {
		q := func(p float64) float64 { return float64(r.latency.ValueAtQuantile(p)) / 1000 }
		fmt.Printf("| %s | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.2f | %.3f%% | %.2f%% |\n", r.name, r.asked, r.answered, r.refused, r.failed,
			q(50), q(99), q(99.9), q(99)*1000/base, 100*r.coverage, 100*r.extraLoad)
	}
}

// writePlot plots the latency of each scenario by quantile.
func writePlot(file string, l []result) error {
	p := plot.New()
	p.Title.Text = "latency by quantile"
	p.X.Label.Text = "quantile, %"
	p.Y.Label.Text = "ms"
	p.Legend.Top, p.Legend.Left = true, true
	for i, r := range l {
		var xy plotter.XYs
		for q := 50.0; q < 100; q += 0.5 {
			xy = append(xy, plotter.XY{X: q, Y: float64(r.latency.ValueAtQuantile(q)) / 1000})
		}
		n, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		n.Color = lineColor(i)
		n.Dashes = lineDashes(i)
		p.Add(n)
		p.Legend.Add(r.name, n)
	}
	return p.Save(9*vg.Inch, 6*vg.Inch, file)
}
