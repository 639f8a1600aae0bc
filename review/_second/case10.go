package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

const (
	oneRouteFleets = 3    // deployments side by side, each with a move of its own
	mainRate       = 60.0 // requests a second on the route in use
	otherRate      = 1.5  // and on the other one, on which the new version is bad
	badShare       = 0.5  // of the answers on that route
)

// moveBadOnOneRoute orders moves to a version that is bad on one route only, from its start on, and
// checks how many requests the version gets.
func moveBadOnOneRoute(r *run) error {
	return playMoves(oneRouteFleets, func(n int) error {
		f := &moveFleet{run: r, name: fmt.Sprint("d", n), rates: map[string]float64{"/b/": mainRate, "/c/": otherRate}}
		if r.trouble {
			f.fails = func(path string, _ time.Duration, _ int) bool {
				return strings.HasPrefix(path, "/c/") && rand.Float64() < badShare
			}
		}
		return f.play(func() {}, f.judgeExposure)
	})
}

// judgeExposure checks the share of the requests between the order and its time budget that the new
// version got. There is no bound for a good one.
func (f *moveFleet) judgeExposure() error {
	end := f.ordered.Add(moveDuration)
	n, _ := f.sum(f.after, f.ordered, end)
	o, _ := f.sum(f.before, f.ordered, end)
	total, bad := f.sum(f.after, f.ordered, time.Now())
	allowed := exposeShare*float64(n+o) + exposeSlack
	f.note("between the order and its time budget, %d of %d requests reached the new version; allowed if it is bad: %.1f", n, n+o, allowed)
	f.note("up to %.0f s after it: %d, of which %d ran badly; answers: %v", moveWatch.Seconds(), total, bad, &f.answers)
	if f.trouble && float64(n) > allowed {
		f.note("broken: EXPOSURE")
		return fmt.Errorf("%w: EXPOSURE: a bad version got %d requests, where %.1f are allowed", errBroken, n, allowed)
	}
	return nil
}
