package cowslipcontrol

import (
	"slices"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
)

const (
	// HoldTime is how long after its last trial a request that crashed targets is sent only as
	// a trial, unless one was answered.
	HoldTime = 24 * time.Hour
	// maxTrials is how many trials of a held request all instances together make in HoldTime.
	// The platform allows three sendings a day, one of which may have left an instance before
	// it heard of the hold.
	maxTrials = 2
	// maxHoldSubjects bounds the fingerprints of a hold.
	maxHoldSubjects = 32
)

// SharedHold tells all instances, through the store, that requests are held and how often they
// were tried since. It outlasts the crashes: whatever makes instances forget these, the
// requests are sent only as trials, whose order is that of the hold's revisions in the store.
type SharedHold struct {
	Content  uint64                   `json:"content,string"`     // of the requests
	Subjects []uint64                 `json:"subjects"`           // fingerprints of what is held: requests, families, copies or the content
	Services []string                 `json:"services,omitempty"` // whose targets crashed
	Whole    bool                     `json:"whole,omitempty"`    // no target answered the request
	Answered bool                     `json:"answered,omitempty"` // another sending was answered shortly before the crashes
	Trials   int                      `json:"trials"`             // that were begun
	At       time.Time                `json:"at"`                 // of the hold or its last trial
	Revision cowslipplatform.Revision `json:"-"`                  // of the store; zero if the store does not show the hold
}

// Expired reports whether the hold is over at now, whether or not a trial was answered.
func (s SharedHold) Expired(now time.Time) bool { return now.Sub(s.At) > HoldTime }

// wait returns how long after the hold, or after its last trial, the next trial is due, unless
// targets are known to have crashed under trials: these hold the request for longer.
func (s SharedHold) wait() time.Duration {
	if s.Trials > 0 || s.Answered {
		return firstHold
	}
	return quarantineTime
}

// add adds a subject and what is known of the crashes under it.
func (s *SharedHold) add(subject uint64, x crash, whole, answered bool) {
	s.Whole, s.Answered = s.Whole || whole, s.Answered || answered
	if !slices.Contains(s.Subjects, subject) && len(s.Subjects) < maxHoldSubjects {
		s.Subjects = append(slices.Clip(s.Subjects), subject)
	}
	if !slices.Contains(s.Services, x.service) {
		s.Services = append(slices.Clip(s.Services), x.service)
	}
}

// without returns the hold of what is held beside the given subjects.
func (s SharedHold) without(subjects []uint64) SharedHold {
	s.Subjects = slices.DeleteFunc(slices.Clone(s.Subjects), func(f uint64) bool { return slices.Contains(subjects, f) })
	return s
}

// hold is a SharedHold that is in force.
type hold struct {
	SharedHold
	since time.Time // when this instance heard of the hold, or of its last trial
	due   time.Time // of the next trial; zero if it is not known
	over  bool      // the next trial is due
}

// lift is the part of a hold that has ended at this instance and that the store still shows.
type lift struct {
	revision cowslipplatform.Revision // of the hold
	subjects []uint64
}

// UpdateHolds replaces the holds that the store shows.
func (c *Control) UpdateHolds(now time.Time, l []SharedHold) {
	if len(l) == 0 && len(c.holds) == 0 && len(c.lifts) == 0 && len(c.lostHolds) == 0 {
		return
	}
	known, lifts := c.holds, c.lifts
	l = c.withLostHolds(now, l)
	c.holds, c.lifts = make(map[uint64]*hold, len(l)), map[uint64]lift{}
	for _, s := range l {
		if x, ok := lifts[s.Content]; ok && !s.Revision.After(x.revision) {
			c.lifts[s.Content] = x
			s = s.without(x.subjects)
		}
		if len(s.Subjects) > 0 && !s.Expired(now) {
			c.addHold(now, s, known[s.Content])
		}
	}
	c.crashesDirty = true
}

// addHold adds a hold, of which an earlier state may be known.
func (c *Control) addHold(now time.Time, s SharedHold, known *hold) {
	h := &hold{SharedHold: s, since: now}
	if known != nil && known.Trials == s.Trials {
		h.since = known.since
	}
	// The instance that wrote the hold may not have answered the request, but this one.
	h.Answered = s.Answered || known != nil && known.Answered || known == nil && c.o.AnsweredSince(now, time.Time{}, s.Content)
	c.holds[s.Content] = h
}

// BeginTrial returns the hold to write to the store, instead of the one with its Revision,
// before a held request with the given subjects is sent as a trial. It reports false if no trial
// is due. Only an instance whose write the store has accepted may send the request.
func (c *Control) BeginTrial(now time.Time, content uint64, subjects ...uint64) (SharedHold, bool) {
	c.runQuarantine(now)
	subjects = slices.DeleteFunc(subjects, func(f uint64) bool { return !c.crashVerdicts[f].Trial })
	if len(subjects) == 0 {
		return SharedHold{}, false
	}
	s, ok := c.newHolds[content]
	if h := c.holds[content]; h != nil {
		s = h.SharedHold
	} else if !ok {
		// The crashes that hold the request are those of other instances.
		s = SharedHold{Content: content, Subjects: subjects, Answered: true}
	}
	s.Trials++
	s.At = now
	return s, true
}

// EndTrial returns the hold to write to the store if a trial does not count, as no target has
// crashed under it. The trial is given by the hold that was written when it began. It reports
// false if a target has crashed, or if another trial has begun since.
func (c *Control) EndTrial(trial SharedHold, incident string) (SharedHold, bool) {
	h := c.holds[trial.Content]
	if h == nil || h.Trials != trial.Trials || slices.ContainsFunc(c.crashes, func(x crash) bool { return x.incident == incident }) {
		return SharedHold{}, false
	}
	s := h.SharedHold
	s.Trials--
	return s, true
}

// HoldWritten records that the store has accepted a hold, at its Revision.
func (c *Control) HoldWritten(now time.Time, s SharedHold) {
	if s.includes(c.lostHolds[s.Content]) {
		delete(c.lostHolds, s.Content)
	}
	if h := c.holds[s.Content]; h == nil || h.Revision.Before(s.Revision) {
		c.addHold(now, s, h)
		c.crashesDirty = true
	}
}

// LiftHold ends the hold of the subjects of a request that was sent to the asked services and
// that the given ones have answered. It returns what is left of the hold, to be written to the
// store in place of its Revision, or removed if it has no Subjects. If only some of the services
// whose targets crashed have answered, the others are left. It reports false if nothing changes.
func (c *Control) LiftHold(content uint64, subjects []uint64, answered map[string]bool, asked []string) (SharedHold, bool) {
	h := c.holds[content]
	if h == nil {
		return SharedHold{}, false
	}
	left := h.SharedHold
	if h.liftedBy(answered, asked) {
		left = left.without(subjects)
	} else {
		left.Services = slices.DeleteFunc(slices.Clone(left.Services), func(n string) bool { return answered[n] })
	}
	if len(left.Subjects) == len(h.Subjects) && len(left.Services) == len(h.Services) {
		return SharedHold{}, false
	}
	if len(left.Subjects) < len(h.Subjects) {
		c.lifts[content] = lift{h.Revision, slices.Concat(c.lifts[content].subjects, subjects)}
	}
	h.SharedHold = left
	if len(left.Subjects) == 0 {
		delete(c.holds, content)
	}
	c.crashesDirty = true
	delete(c.lostHolds, content)
	return left, true
}

// liftedBy reports whether answers of services lift the hold: those whose targets crashed must
// have answered or, if the request is no longer sent to any of them, all that were asked.
func (h *hold) liftedBy(answered map[string]bool, asked []string) bool {
	needed := slices.DeleteFunc(slices.Clone(asked), func(n string) bool { return !slices.Contains(h.Services, n) })
	if len(needed) == 0 {
		needed = asked
	}
	return len(needed) > 0 && !slices.ContainsFunc(needed, func(n string) bool { return !answered[n] })
}

// findNewHolds collects the holds that the store must be told of: those of requests under
// which this instance has seen targets crash.
func (c *Control) findNewHolds(now time.Time) {
	c.newHolds = map[uint64]SharedHold{}
	for _, x := range c.crashes {
		if x.content == 0 || c.dismissed(x) {
			continue
		}
		for _, f := range []uint64{x.content, x.copies, x.family, x.fingerprint} {
			v := c.crashVerdicts[f]
			if v.Verdict != cowsliproute.Quarantined && !v.Trial {
				continue
			}
			s, ok := c.newHolds[x.content]
			if h := c.holds[x.content]; h != nil && !ok {
				s = h.SharedHold
			} else if !ok {
				s = SharedHold{Content: x.content, At: now}
			}
			if c.holds[x.content] == nil || !slices.Contains(s.Subjects, f) && len(s.Subjects) < maxHoldSubjects {
				s.add(f, x, v.Whole, c.answeredBefore(x))
				c.newHolds[x.content] = s
			}
		}
	}
}

// applyHolds holds the requests that the store shows as held until their next trial is due.
func (c *Control) applyHolds(now time.Time) {
	for _, h := range c.holds {
		h.due = c.trialDue(h, now)
		h.over = !h.due.IsZero() && !now.Before(h.due)
		for _, f := range h.Subjects {
			s := c.crashVerdicts[f].Merge(cowsliproute.Suspicion{Whole: h.Whole, Services: h.Services, Since: h.since})
			s.Verdict, s.Trial, s.HeldUntil = cowsliproute.Quarantined, false, h.due
			if h.over {
				s.Verdict, s.Trial, s.HeldUntil = cowsliproute.Suspect, true, time.Time{}
			}
			c.crashVerdicts[f] = s
		}
	}
}

// trialDue returns when the next trial of held requests is due, the zero time if that is not
// known. The crashes that this instance knows of may hold them longer than the hold itself, or
// tell that they were answered before.
func (c *Control) trialDue(h *hold, now time.Time) time.Time {
	due := h.since.Add(h.wait())
	if h.Trials >= maxTrials {
		return time.Time{}
	}
	for _, f := range h.Subjects {
		switch s := c.crashVerdicts[f]; {
		case s.Trial && h.Trials == 0:
			return now
		case s.Verdict != cowsliproute.Quarantined || s.HeldUntil.IsZero() && h.Answered:
		case s.HeldUntil.IsZero():
			return time.Time{}
		case s.HeldUntil.After(due) || h.Trials == 0:
			due = s.HeldUntil
		}
	}
	return due
}

// anyTrialDue reports whether a trial has become due since applyHolds last ran.
func (c *Control) anyTrialDue(now time.Time) bool {
	for _, h := range c.holds {
		if !h.over && !h.due.IsZero() && !now.Before(h.due) {
			return true
		}
	}
	return false
}
