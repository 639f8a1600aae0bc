package cowslipcontrol

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"cowslipflow/cowslipplatform"
)

// keptCrashTime is how long crashes that other instances had shared before the store came back
// from an older copy still count, unless they are shared again by then.
const keptCrashTime = 10 * time.Second

// keepHolds makes the holds and crashes known so far outlast the era in which the store showed
// them. A hold counts the trials of a day, and must not count from the start again.
func (c *Control) keepHolds() {
	c.lostHolds = make(map[uint64]SharedHold, len(c.holds))
	for k, h := range c.holds {
		c.lostHolds[k] = h.SharedHold
	}
	c.keptCrashes = c.sharedCrashes
	for _, x := range c.crashes {
		c.effects.CrashesAgain = append(c.effects.CrashesAgain, x.shared())
	}
}

// withLostHolds returns the holds that the store shows, together with what it has lost of them.
func (c *Control) withLostHolds(now time.Time, l []SharedHold) []SharedHold {
	if len(c.lostHolds) == 0 {
		return l
	}
	l = slices.Clone(l)
	for content, lost := range c.lostHolds {
		i := slices.IndexFunc(l, func(s SharedHold) bool { return s.Content == content })
		switch {
		case lost.Expired(now), i >= 0 && l[i].includes(lost):
			delete(c.lostHolds, content)
		case i >= 0:
			l[i] = l[i].with(lost)
			c.lostHolds[content] = l[i]
		default:
			lost.Revision = cowslipplatform.Revision{}
			c.lostHolds[content] = lost
			l = append(l, lost)
		}
	}
	return l
}

// includes reports whether a hold says all that another state of it says.
func (s SharedHold) includes(x SharedHold) bool {
	return s.Trials >= x.Trials && !slices.ContainsFunc(x.Subjects, func(f uint64) bool { return !slices.Contains(s.Subjects, f) })
}

// with returns the hold with what another state of it says.
func (s SharedHold) with(x SharedHold) SharedHold {
	s.Trials, s.Whole, s.Answered = max(s.Trials, x.Trials), s.Whole || x.Whole, s.Answered || x.Answered
	s.At = later(s.At, x.At)
	s.Subjects, s.Services = union(s.Subjects, x.Subjects), union(s.Services, x.Services)
	s.Subjects = s.Subjects[:min(len(s.Subjects), maxHoldSubjects)]
	return s
}

func union[T comparable](a, b []T) []T {
	l := slices.Clone(a)
	for _, x := range b {
		if !slices.Contains(l, x) {
			l = append(l, x)
		}
	}
	return l
}

// lostHoldsToWrite returns the lost holds that this instance writes to the store again. Few
// instances do so at once, the others if these don't.
func (c *Control) lostHoldsToWrite(now time.Time) []SharedHold {
	var l []SharedHold
	for content, s := range c.lostHolds {
		if now.Sub(c.eraBeganAt) >= restoreDelay || c.amongFirst(strconv.FormatUint(content, 16), c.senders().ids, judgeCount) {
			l = append(l, s)
		}
	}
	return l
}

// forgetLostHold stops the hold of a subject that was answered from being written again.
func (c *Control) forgetLostHold(subject uint64) {
	maps.DeleteFunc(c.lostHolds, func(_ uint64, s SharedHold) bool { return slices.Contains(s.Subjects, subject) })
}

// withKeptCrashes adds to the rows of the store's crashes those that it has lost.
func (c *Control) withKeptCrashes(now time.Time, rows []crash) []crash {
	if now.Sub(c.eraBeganAt) > keptCrashTime {
		c.keptCrashes = nil
	}
	for _, x := range c.keptCrashes {
		if !slices.ContainsFunc(rows, x.same) {
			rows = append(rows, x)
		}
	}
	return rows
}
