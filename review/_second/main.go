// Command review-second runs the scripts of the second review: it starts entry instances as
// processes, with stand-ins for the platform's store, for replicas and for requesters, and
// checks one rule by what requesters and replicas have seen.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// errBroken means that the rule was broken.
var errBroken = errors.New("the rule was broken")

// run is one run of a case.
type run struct {
	dir     string // temporary folder
	trouble bool   // with the disruption
	began   time.Time

	mu     sync.Mutex
	record *os.File
	ended  bool
}

// end tells all parts of the run that its result stands.
func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
}

// over reports whether the result stands.
func (r *run) over() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ended
}

// note writes a line to the record.
func (r *run) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.record, strings.TrimSuffix(format, "\n")+"\n", a...)
}

var cases = map[string]func(*run) error{"6": stopInTurn, "7": freezeInMove, "8": changeTimeout, "9": moveBadUnderLoad, "10": moveBadOnOneRoute}

func main() { os.Exit(execute()) }

func execute() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-second CASE RECORD")
		return exitNoRun
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review-second")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	defer os.RemoveAll(dir)
	r := &run{dir: dir, trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), record: f}
	r.note("case %s, disruption: %v", os.Args[1], r.trouble)
	err = cases[os.Args[1]](r)
	switch {
	case err == nil:
		r.note("the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.note("%v", err)
		fmt.Println(err)
		return exitBroken
	}
	r.note("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNoRun
}
