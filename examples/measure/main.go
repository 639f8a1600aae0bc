// Command measure runs an installation as processes on the loopback interface, sends
// queries at a fixed rate and prints a table of tail latency, coverage and extra load, with
// each scenario next to its baseline:
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

// Sizes and loads. The sizes are those of the current installation.
const (
	shards         = 30
	replicas       = 2
	entryCount     = 7
	targetLatency  = 4 * time.Millisecond
	networkDelay   = 3 * time.Millisecond // round trip, added to each answer
	stragglerDelay = 100 * time.Millisecond
	halfLoadRate   = 220 // queries per second, about half of the targets' capacity
	overloadRate   = 900
	warmUpTime     = 4 * time.Second
	settlingTime   = 3 * time.Second
	runLength      = 8 * time.Second
)

var domains = []string{"cerro", "plan", "puerto"}

// scenario is one run: a load, a fault, and a baseline flag that turns off a mechanism
// of the entry instances.
type scenario struct {
	name         string
	rate         int
	baselineFlag string // flag of the entry command, none if empty
	fault        func(f *fleet)

	settlingTime time.Duration // between the fault and the measurement
}

func makeStragglers(f *fleet) {
	for s := 0; s < shards; s += 10 {
		f.addLatency(2*s, stragglerDelay)
	}
}

var scenarios = []scenario{
	{"no fault", halfLoadRate, "", nil, 0},
	{"3 stragglers, from their start", halfLoadRate, "", makeStragglers, 0},
	{"3 stragglers", halfLoadRate, "", makeStragglers, settlingTime},
	{"3 stragglers, no hedge", halfLoadRate, "--baseline-no-hedge", makeStragglers, settlingTime},
	{"3 stragglers, round robin", halfLoadRate, "--baseline-round-robin", makeStragglers, settlingTime},
	{"a replica lost", halfLoadRate, "", func(f *fleet) { f.kill(0) }, 0},
	{"domain out and back", halfLoadRate, "", func(f *fleet) { go f.takeDomainOutAndBack() }, 0},
	{"2x load", overloadRate, "", nil, 0},
	{"2x load, no admission", overloadRate, "--baseline-no-admission", nil, 0},
}

func main() {
	log.SetFlags(0)
	program := flag.String("program", "./cowslipflow", "path of the cowslipflow binary")
	plot := flag.String("plot", "", "file to write a plot to, such as docs/measures.png")
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
	f, err := startFleet(program, s.baselineFlag)
	defer f.stop()
	if err != nil {
		return result{}, err
	}
	f.sendQueries(s.rate, warmUpTime)
	if s.fault != nil {
		s.fault(f)
	}
	if s.settlingTime > 0 {
		f.sendQueries(s.rate, s.settlingTime)
	}
	before := f.counters()
	r := f.sendQueries(s.rate, runLength)
	after := f.counters()
	r.name = s.name
	r.extraLoad = float64(after.sent-before.sent)/float64(max(after.needed-before.needed, 1)) - 1
	return r, nil
}
