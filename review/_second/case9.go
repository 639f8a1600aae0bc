package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	loadFleets = 3     // deployments side by side, each with a move of its own
	loadRate   = 120.0 // requests a second
	badFrom    = 4     // requests at once, of 6 that a replica may run, from which the new version fails
)

// moveBadUnderLoad orders moves to a version that fails requests while most of a replica's slots are
// taken, and checks how many requests the version gets, and whether it gets any after its fault.
func moveBadUnderLoad(r *run) error {
	return playMoves(loadFleets, func(n int) error {
		f := &moveFleet{run: r, name: fmt.Sprint("d", n), rates: map[string]float64{"/b/": loadRate}}
		if r.trouble {
			f.fails = func(_ string, _ time.Duration, busy int) bool { return busy >= badFrom }
		}
		return f.play(func() {}, func() error { return errors.Join(f.judgeExposure(), f.judgeAfterFault()) })
	})
}

// judgeAfterFault checks that a bad version gets no request later than rollback after the bad answer
// that shows its fault.
func (f *moveFleet) judgeAfterFault() error {
	late, _ := f.sum(f.after, f.shownAt().Add(rollback), time.Now())
	f.note("%d requests ran at the new version later than %v after its %dth bad answer", late, rollback, shownBy)
	if !f.trouble || late == 0 {
		return nil
	}
	f.note("broken: EXPOSURE")
	return fmt.Errorf("%w: EXPOSURE: %d requests ran at a bad version later than %v after its %dth bad answer", errBroken, late, rollback, shownBy)
}
