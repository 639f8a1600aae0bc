package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

const (
	frozenFleets = 6                       // deployments side by side, each with a move of its own
	frozenRounds = 3                       // of them, one after the other
	freezeAfter  = 9120 * time.Millisecond // after the order
	turnsBad     = 9360 * time.Millisecond // likewise: from then on, the new version fails all requests
	wakeAfter    = 11640 * time.Millisecond
	roundLimit   = 55 * time.Second // no round begins later
	rollback     = 5 * time.Second  // rollbackMs
	contact      = 4 * time.Second  // contactMs
	recovery     = 12 * time.Second // recoveryS
	servedTime   = 4 * time.Second  // for which answers are counted then
	shownBy      = 50               // bad answers that show a version's fault
)

// freezeInMove orders moves to a version that turns bad late. A machine freezes before that and
// wakes before the end of the move. It checks that the version is taken back and gets no requests.
func freezeInMove(r *run) error {
	for n := 0; n < frozenRounds && time.Since(r.began) < roundLimit; n++ {
		err := playMoves(frozenFleets, func(k int) error {
			f := &moveFleet{run: r, name: fmt.Sprint("r", n, "-d", k), rates: map[string]float64{"/b/": mainRate}}
			f.fails = func(_ string, since time.Duration, _ int) bool { return since >= turnsBad }
			return f.play(f.freezeOne, f.judgeRollback)
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// freezeOne freezes one of the instances for a while.
func (f *moveFleet) freezeOne() {
	i := f.instance(rand.IntN(len(f.instances)))
	time.Sleep(time.Until(f.ordered.Add(freezeAfter)))
	if !f.trouble {
		return
	}
	i.signal(syscall.SIGSTOP)
	time.Sleep(time.Until(f.ordered.Add(wakeAfter)))
	i.signal(syscall.SIGCONT)
	f.note("%s was frozen from %.2f to %.2f s after the order", i.name, freezeAfter.Seconds(), wakeAfter.Seconds())
}

// judgeRollback checks a move that the store shows as completed although the version is bad. It
// notes what requesters get then, stops the instances in turn and starts them again, and checks that
// the bad version gets no request later than rollback after the bad answer that shows its fault.
func (f *moveFleet) judgeRollback() error {
	n, bad := f.sum(f.after, f.ordered, time.Now())
	f.note("statuses: %v; the new version ran %d requests, %d badly; answers: %v", f.statuses, n, bad, &f.answers)
	if f.status() != "completed" {
		return nil
	}
	time.Sleep(time.Until(f.ordered.Add(wakeAfter + recovery)))
	f.answers.reset()
	time.Sleep(servedTime)
	f.note("answers from %.0f s after all machines are back: %v", recovery.Seconds(), &f.answers)
	if err := f.roll(); err != nil {
		return err
	}
	inTouch := time.Now().Add(contact)
	time.Sleep(contact + servedTime)
	from := f.shownAt().Add(rollback)
	if inTouch.After(from) {
		from = inTouch
	}
	late, _ := f.sum(f.after, from, time.Now())
	_, bad = f.sum(f.after, f.ordered, time.Now())
	f.note("after a restart of the machines in turn: %d bad answers in all, %d requests ran at the bad version later than allowed", bad, late)
	if bad < shownBy || late == 0 {
		return nil
	}
	f.note("broken: EXPOSURE")
	return fmt.Errorf("%w: EXPOSURE: statuses %v; %d requests ran at a bad version later than %v after its %dth bad answer", errBroken, f.statuses, late, rollback, shownBy)
}

// roll stops the instances by SIGTERM, one after the other, and starts them again.
func (f *moveFleet) roll() error {
	for n, i := range f.instances {
		i.signal(syscall.SIGTERM)
		select {
		case <-i.ended:
		case <-time.After(stopGrace):
		}
		i.kill()
		again, err := startInstance(f.dir, i.name+"-again", i.zone, f.store.addr, -1)
		if err != nil {
			return err
		}
		f.setInstance(n, again)
		if err := again.awaitReady(startLimit); err != nil {
			return err
		}
	}
	return nil
}

// shownAt returns when the replicas of the new version gave the bad answer that shows its fault, or
// the present time if they have not.
func (f *moveFleet) shownAt() time.Time {
	var l []time.Time
	for _, t := range f.after {
		l = append(l, t.failedAt()...)
	}
	if len(l) < shownBy {
		return time.Now()
	}
	slices.SortFunc(l, time.Time.Compare)
	return l[shownBy-1]
}
