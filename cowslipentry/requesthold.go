package cowslipentry

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliptarget"

	"github.com/juju/errors"
)

const (
	// holdsPrefix is the prefix of the keys that show which requests are held, and how often
	// they were tried. They have no lease, as a hold lasts longer than any lease may.
	holdsPrefix = "cowslipflow/holds/"
	// maxHolds bounds the holds in the store; the oldest is removed first.
	maxHolds = 1024
	// holdWriteInterval limits how often an instance tells of the same hold.
	holdWriteInterval = time.Second
	// trialPermitTimeout limits how long a caller waits for the store to permit a trial.
	trialPermitTimeout = 300 * time.Millisecond
	// trialRetryAfter is the time between calls for a permit that was not given, and the delay
	// that callers of a request are told to wait that is tried elsewhere.
	trialRetryAfter = time.Second
)

func holdKey(content uint64) string { return holdsPrefix + formatFingerprint(content) }

// decodeHolds returns the holds among the store's values, with their revisions.
func (e *Entry) decodeHolds(values []cowslipplatform.Value) []cowslipcontrol.SharedHold {
	l := decodeRevisions(e, values, holdsPrefix, func(s *cowslipcontrol.SharedHold, revision cowslipplatform.Revision) { s.Revision = revision })
	for _, s := range l {
		if s.Expired(e.clock.Now()) {
			e.removeHold(s)
		}
	}
	return l
}

// removeHold removes a hold from the store unless it has changed.
func (e *Entry) removeHold(s cowslipcontrol.SharedHold) {
	k := holdKey(s.Content)
	e.startThrottled("remove "+k, holdWriteInterval, func(ctx context.Context) {
		t, cancel := context.WithTimeout(ctx, platformCallTimeout)
		defer cancel()
		if err := e.opts.Store.Delete(t, k, s.Revision); err != nil {
			e.log.Info("hold not removed from the store", "key", k, "reason", err)
		}
	})
}

// shareHolds writes holds that the store does not show yet.
func (e *Entry) shareHolds(l []cowslipcontrol.SharedHold) {
	for _, s := range l {
		k := holdKey(s.Content)
		e.startThrottled(k, holdWriteInterval, func(ctx context.Context) {
			if s.Revision.IsZero() {
				e.makeRoomForHold()
			}
			if _, err := e.writeHold(ctx, s, platformCallTimeout); err != nil {
				e.log.Info("hold not shared", "key", k, "reason", err)
			}
		})
	}
}

// makeRoomForHold removes the oldest hold if the store has too many.
func (e *Entry) makeRoomForHold() {
	var l []cowslipcontrol.SharedHold
	oldest := 0
	for _, s := range e.decodeHolds(e.mirror.Values()) {
		if l = append(l, s); s.At.Before(l[oldest].At) {
			oldest = len(l) - 1
		}
	}
	if len(l) >= maxHolds {
		e.removeHold(l[oldest])
	}
}

// writeHold writes a hold to the store, in place of its revision, and returns it with the new one.
func (e *Entry) writeHold(ctx context.Context, s cowslipcontrol.SharedHold, timeout time.Duration) (cowslipcontrol.SharedHold, error) {
	b, err := json.Marshal(s)
	if err != nil {
		return s, err
	}
	t, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if s.Revision, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: holdKey(s.Content), Data: b, Expect: s.Revision}); err != nil {
		return s, err
	}
	e.do(func(now time.Time, c *cowslipcontrol.Control) { c.HoldWritten(now, s) })
	return s, nil
}

// beginTrial asks the store to permit a trial of a request that was held, and reports whether
// it did. All instances together make few trials: if the store does not answer, there is none.
func (f *forward) beginTrial(ctx context.Context) bool {
	if _, busy := f.trials.LoadOrStore(f.content, true); busy {
		return false
	}
	var s cowslipcontrol.SharedHold
	due := false
	f.do(func(now time.Time, c *cowslipcontrol.Control) {
		s, due = c.BeginTrial(now, f.content, f.subjects()...)
	})
	if due {
		var err error
		if s, err = f.writeHold(ctx, s, trialPermitTimeout); err == nil {
			f.trial = &s
			f.event("requestTried", formatFingerprint(f.content), "trial "+strconv.Itoa(s.Trials)+" is request "+f.request.ID)
			return true
		}
		f.log.Info("trial not permitted", "id", f.request.ID, "content", formatFingerprint(f.content), "reason", err)
	}
	f.runInBackground(func(ctx context.Context) {
		f.sleep(ctx, trialRetryAfter)
		f.trials.Delete(f.content)
	})
	return false
}

// endTrial ends a trial that was not answered. It counts only if a target crashed under it, which
// may show some time later; until then it counts.
func (f *forward) endTrial() {
	f.trials.Delete(f.content)
	wait := cowslipcontrol.RunEndWait
	if f.survived() {
		wait = 0
	}
	f.runInBackground(func(ctx context.Context) {
		if !f.sleep(ctx, wait) || f.clock.Since(f.mirror.ConfirmedAt()) > f.staleAge() || f.outdated("trialNotTakenBack") {
			return
		}
		var s cowslipcontrol.SharedHold
		survived := false
		f.do(func(_ time.Time, c *cowslipcontrol.Control) { s, survived = c.EndTrial(*f.trial, f.incident) })
		if !survived {
			return
		}
		if _, err := f.writeHold(ctx, s, platformCallTimeout); err != nil {
			f.log.Info("trial not taken back", "id", f.request.ID, "content", formatFingerprint(f.content), "reason", err)
		}
	})
}

// liftHold ends the hold of the request, which targets of the given services have answered. What
// else the hold is of stays, with the trials made so far.
func (f *forward) liftHold(ctx context.Context, answered map[string]bool) {
	lifted := false
	var left cowslipcontrol.SharedHold
	lift := func(now time.Time, c *cowslipcontrol.Control) {
		if f.trial != nil {
			c.HoldWritten(now, *f.trial)
		}
		left, lifted = c.LiftHold(f.content, f.subjects(), answered, f.services)
	}
	if f.do(lift); !lifted {
		return
	}
	f.event("holdLifted", formatFingerprint(f.content), fmt.Sprintf("targets answered request %s; left of it: %d", f.request.ID, len(left.Subjects)))
	f.untilAccepted(ctx, "hold not removed from the store", func(t context.Context) error {
		err := f.replaceHold(t, left)
		if !errors.Is(err, cowslipplatform.ErrConflict) {
			return err
		}
		// Another instance has changed it since.
		v, err := f.opts.Store.Get(t, holdKey(f.content))
		if err != nil {
			return err
		}
		for _, s := range f.decodeHolds([]cowslipplatform.Value{v}) {
			f.do(func(now time.Time, c *cowslipcontrol.Control) {
				c.HoldWritten(now, s)
				lift(now, c)
			})
			if lifted {
				return f.replaceHold(t, left)
			}
		}
		return nil
	})
}

// replaceHold writes what is still held of a hold, or removes the hold.
func (f *forward) replaceHold(ctx context.Context, s cowslipcontrol.SharedHold) error {
	if len(s.Subjects) == 0 {
		return f.opts.Store.Delete(ctx, holdKey(s.Content), s.Revision)
	}
	_, err := f.writeHold(ctx, s, platformCallTimeout)
	return err
}

// untilAccepted calls the store until it accepts the call, or has nothing to change.
func (f *forward) untilAccepted(ctx context.Context, failure string, call func(context.Context) error) {
	for {
		t, cancel := context.WithTimeout(ctx, platformCallTimeout)
		err := call(t)
		cancel()
		if err == nil || errors.Is(err, cowslipplatform.ErrNotFound) {
			return
		}
		f.log.Info(failure, "id", f.request.ID, "fingerprint", formatFingerprint(f.fingerprint), "reason", err)
		if !f.sleep(ctx, clearingRetryInterval) {
			return
		}
	}
}

// survived reports whether no target may have crashed under the request.
func (f *forward) survived() bool {
	for _, x := range f.attempts {
		switch x.outcome {
		case cowsliptarget.Lost, cowsliptarget.Corrupt, cowsliptarget.Cancelled:
			return false
		}
	}
	return true
}
