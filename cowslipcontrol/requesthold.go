package cowslipcontrol

import (
	"slices"
	"time"

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
	// maxHoldSubjects bounds the fingerprints of a hold. If there are more, all requests with
	// the content are held.
	maxHoldSubjects = 8
)

// SharedHold tells all instances, through the store, that requests are held and how often they
// were tried since. It outlasts the crashes: whatever makes instances forget these, the
// requests are sent only as trials, whose order is that of the hold's revisions in the store.
type SharedHold struct {
	Content  uint64    `json:"content,string"`     // of the requests
	Subjects []uint64  `json:"subjects"`           // fingerprints, families or the content that are held
	Services []string  `json:"services,omitempty"` // whose targets crashed
	Whole    bool      `json:"whole,omitempty"`    // no target answered the request
	Answered bool      `json:"answered,omitempty"` // another sending was answered shortly before the crashes
	Trials   int       `json:"trials"`             // that were begun
	At       time.Time `json:"at"`                 // of the hold or its last trial
	Revision uint64    `json:"-"`                  // of the store; 0 if the store does not show the hold
}

// Expired reports whether the hold is over at now, whether or not a trial was answered.
func (s SharedHold) Expired(now time.Time) bool { return now.Sub(s.At) > HoldTime }

// wait returns how long after the hold, or after its last trial, the next trial is due.
func (s SharedHold) wait() time.Duration {
	switch {
	case s.Trials > 0:
		return holdLength(s.Trials)
	case s.Answered:
		return firstHold
	}
	return quarantineTime
}

// add adds a subject and what is known of the crashes under it.
func (s *SharedHold) add(subject uint64, x crash, whole, answered bool) {
	s.Whole, s.Answered = s.Whole || whole, s.Answered || answered
	if !slices.Contains(s.Subjects, subject) {
		s.Subjects = append(slices.Clip(s.Subjects), subject)
	}
	if len(s.Subjects) > maxHoldSubjects {
		s.Subjects = []uint64{s.Content}
	}
	if !slices.Contains(s.Services, x.service) {
		s.Services = append(slices.Clip(s.Services), x.service)
	}
}

// covers reports whether the subject is held.
func (s SharedHold) covers(subject uint64) bool {
	return slices.Contains(s.Subjects, subject) || slices.Contains(s.Subjects, s.Content)
}

// hold is a SharedHold that is in force.
type hold struct {
	SharedHold
	since time.Time // when this instance heard of the hold, or of its last trial
	due   time.Time // of the next trial; zero if it is not known
	over  bool      // the next trial is due
}

// UpdateHolds replaces the holds that the store shows.
func (c *Control) UpdateHolds(now time.Time, l []SharedHold) {
	if len(l) == 0 && len(c.holds) == 0 && len(c.liftedHolds) == 0 {
		return
	}
	known, lifted := c.holds, c.liftedHolds
	c.holds, c.liftedHolds = make(map[uint64]*hold, len(l)), map[uint64]uint64{}
	for _, s := range l {
		r, ok := lifted[s.Content]
		switch {
		case ok && s.Revision <= r:
			c.liftedHolds[s.Content] = r
		case !s.Expired(now):
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
	c.holds[s.Content] = h
}

// BeginTrial returns the hold to write to the store, instead of the one with its Revision,
// before a held request is sent as a trial. It reports false if no trial is due. Only an
// instance whose write the store has accepted may send the request.
func (c *Control) BeginTrial(now time.Time, content uint64, subjects ...uint64) (SharedHold, bool) {
	s, ok := c.newHolds[content]
	h := c.holds[content]
	switch {
	case h != nil && !h.over:
		return SharedHold{}, false
	case h != nil:
		s = h.SharedHold
	case !ok:
		// The crashes that hold the request are those of other instances.
		s = SharedHold{Content: content, Subjects: subjects, Answered: true}
	}
	s.Trials++
	s.At = now
	return s, true
}

// HoldWritten records that the store has accepted a hold, at its Revision.
func (c *Control) HoldWritten(now time.Time, s SharedHold) {
	if h := c.holds[s.Content]; h == nil || h.Revision < s.Revision {
		c.addHold(now, s, h)
		c.crashesDirty = true
	}
}

// LiftHold ends the hold of requests with the content, as the given services have answered one
// that was sent to the asked ones. It returns the revision at which the store shows the hold,
// and reports false if there is none that the answers lift.
func (c *Control) LiftHold(content uint64, answered map[string]bool, asked []string) (uint64, bool) {
	h := c.holds[content]
	if h == nil || !h.liftedBy(answered, asked) {
		return 0, false
	}
	c.ForgetHold(content, h.Revision)
	return h.Revision, true
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

// ForgetHold makes this instance ignore a hold up to a revision, until the store has removed it.
func (c *Control) ForgetHold(content, revision uint64) {
	c.liftedHolds[content] = max(c.liftedHolds[content], revision)
	delete(c.holds, content)
	c.crashesDirty = true
}

// findNewHolds collects the holds that the store must be told of: those of requests under
// which this instance has seen targets crash.
func (c *Control) findNewHolds(now time.Time) {
	c.newHolds = map[uint64]SharedHold{}
	for _, x := range c.crashes {
		if x.content == 0 || c.dismissed(x) {
			continue
		}
		for _, f := range []uint64{x.content, x.family, x.fingerprint} {
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
			if c.holds[x.content] == nil || !s.covers(f) {
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
