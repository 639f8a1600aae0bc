// Command standin runs the scripts of the review: it plays the platform, its store, the
// replicas and the callers around real processes of the program.
package main

import (
	"fmt"
	"os"
)

// Results of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// cases are the scripts by name. Each returns whether the rule held.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"stop":   stopAndReload,
	"config": growConfiguration,
	"routes": useManyRoutes,
	"move":   moveToBadVersion,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin stop|config|routes|move FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(f *fleet, trouble bool) (bool, error), folder string) int {
	f, err := newFleet(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannotRun
	}
	defer f.close()
	ok, err := play(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record.say("cannot run: %v", err)
		return cannotRun
	case !ok:
		f.record.say("the rule is broken")
		return broken
	}
	f.record.say("the rule held")
	return held
}
