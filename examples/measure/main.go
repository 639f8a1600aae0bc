// Command measure runs an installation as processes on loopback, at the sizes
// of today, sends queries at a fixed rate and prints a table of tails, coverage
// and extra load, each scenario beside its baseline:
//
//	go build -o /tmp/cowslipflow . && go run ./examples/measure -program /tmp/cowslipflow
package main

import (
	"flag"
	"fmt"
	"log"
	"os"
	"time"
)

// Sizes of today.
const (
	shards    = 30
	replicas  = 2
	entries   = 7
	latency   = 4 * time.Millisecond
	distance  = 3 * time.Millisecond // there and back, on top of each answer
	straggle  = 100 * time.Millisecond
	halfLoad  = 220 // queries a second, about half of what the targets bear
	overload  = 900
	warmUp    = 4 * time.Second
	settled   = 3 * time.Second
	runLength = 8 * time.Second
)

var domains = []string{"cerro", "plan", "puerto"}

// scenario is one run: a load, a fault, and what of the entry instances is
// turned off.
type scenario struct {
	name  string
	rate  int
	off   string // baseline flag of the entry instances
	fault func(f *fleet)

	settle time.Duration // between the fault and the measurement
}

func stragglers(f *fleet) {
	for s := 0; s < shards; s += 10 {
		f.fault(2*s, straggle)
	}
}

var scenarios = []scenario{
	{"no fault", halfLoad, "", nil, 0},
	{"3 stragglers, from their start", halfLoad, "", stragglers, 0},
	{"3 stragglers", halfLoad, "", stragglers, settled},
	{"3 stragglers, no hedge", halfLoad, "--baseline-no-hedge", stragglers, settled},
	{"3 stragglers, round robin", halfLoad, "--baseline-round-robin", stragglers, settled},
	{"a replica lost", halfLoad, "", func(f *fleet) { f.kill(0) }, 0},
	{"domain out and back", halfLoad, "", func(f *fleet) { go f.outAndBack() }, 0},
	{"2x load", overload, "", nil, 0},
	{"2x load, no admission", overload, "--baseline-no-admission", nil, 0},
}

func main() {
	log.SetFlags(0)
	program := flag.String("program", "./cowslipflow", "the program, built before")
	plot := flag.String("plot", "", "file of a plot to write, such as docs/measures.png")
	flag.Parse()
	var results []result
	for _, s := range scenarios {
		r, err := measure(*program, s)
		if err != nil {
			log.Fatalf("%s: %v", s.name, err)
		}
		results = append(results, r)
		fmt.Fprintln(os.Stderr, s.name, "measured")
	}
	printTable(results)
	if *plot != "" {
		if err := writePlot(*plot, results); err != nil {
			log.Fatal(err)
		}
	}
}

func measure(program string, s scenario) (result, error) {
	f, err := startFleet(program, s.off)
	defer f.stop()
	if err != nil {
		return result{}, err
	}
	f.send(s.rate, warmUp)
	if s.fault != nil {
		s.fault(f)
	}
	if s.settle > 0 {
		f.send(s.rate, s.settle)
	}
	before := f.counters()
	r := f.send(s.rate, runLength)
	after := f.counters()
	r.name = s.name
	r.extra = float64(after.sent-before.sent)/float64(max(after.needed-before.needed, 1)) - 1
	return r, nil
}
