package cowslipcontrol

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
)

const (
	// quarantineTime is how long after its last crash a request stays quarantined.
	quarantineTime = 10 * time.Minute
	// maxCrashRecords bounds the table of crashes; the oldest are dropped first.
	maxCrashRecords = 4096
	// maxIncidentCrashes is how many crashes under one sending of a request count. More of
	// them say nothing new: a second sending must crash another run.
	maxIncidentCrashes = 2
)

// crash is a row of the table of crashes: a request and a target that it was
// running on when the target crashed.
type crash struct {
	fingerprint      uint64    // of the request's content; the same each time the request is sent
	family           uint64    // of requests that may crash targets together with this one; 0 for none
	copies           uint64    // of the same request by any caller; 0 for none
	content          uint64    // of requests of any caller that may crash targets together with this one; 0 for none
	ofCallers        bool      // the row is evidence against requests of other callers
	sent, ended      time.Time // when the instance got the request, and when the target broke it off
	incident         string    // identifies the sending of the request; the same for all targets that crashed under it
	endedRun         string    // identifies the target's run that ended; the same for all requests in flight at the time
	service, version string
	partial          bool // targets of other services answered the request
	answered         bool // another sending of the request was answered shortly before
	trial            bool // the request was sent after a hold
	wide             bool // the request was sent to several services
	at               time.Time
}

// Crash describes the crash of a target under a request.
type Crash struct {
	Fingerprint uint64    // of the request's content; the same each time the request is sent
	Family      uint64    // of requests that may crash targets for the same reason; 0 for none
	Copies      uint64    // of the same request by any caller; 0 for none
	Content     uint64    // of requests of any caller that may crash targets for the same reason; 0 for none
	Incident    string    // unique to the sending of the request, shared by its sub-requests
	Sent        time.Time // when the instance got the request
	Ended       time.Time // when the target broke it off
	Target      *cowsliproute.Target
	Incarnation string // of the target's run that ended
	Partial     bool   // targets of other services answered the request
	Answered    bool   // another sending of the request was answered shortly before
	Trial       bool   // the request was sent after a hold
	Wide        bool   // the request was sent to several services
}

// Crashed records the crash of a target under a request. It reports false if nothing new
// follows from it, so that other instances need not know. The caller must not
// report crashes of a request that another target of the same service has answered.
func (c *Control) Crashed(now time.Time, x Crash) bool {
	if !c.addCrash(c.share(x).row(now)) {
		return false
	}
	c.effects.Push = true
	return true
}

// share returns the crash as instances tell each other, with what is known of answers.
func (c *Control) share(x Crash) SharedCrash {
	s := x.Shared()
	s.Answered = s.Answered || c.answeredBy(s.Fingerprint, s.Service)
	return s
}

// answeredBy reports whether targets of a service have answered a suspect request lately.
func (c *Control) answeredBy(fingerprint uint64, service string) bool {
	_, ok := c.clearedSuspects[fingerprint][service]
	return ok
}

// SharedCrash is a crash as instances tell each other through the store.
type SharedCrash struct {
	Fingerprint uint64                   `json:"fingerprint,string"`
	Family      uint64                   `json:"family,string,omitempty"`
	Copies      uint64                   `json:"copies,string,omitempty"`
	Content     uint64                   `json:"content,string,omitempty"`
	Sent        time.Time                `json:"sent"`
	Ended       time.Time                `json:"ended"`
	Incident    string                   `json:"incident"`
	EndedRun    string                   `json:"endedRun"` // identifies the run of the target that ended
	Service     string                   `json:"service"`
	Version     string                   `json:"version"`
	Partial     bool                     `json:"partial,omitempty"`  // targets of other services answered the request
	Answered    bool                     `json:"answered,omitempty"` // another sending of the request was answered shortly before
	Trial       bool                     `json:"trial,omitempty"`    // the request was sent after a hold
	Wide        bool                     `json:"wide,omitempty"`     // the request was sent to several services
	Revision    cowslipplatform.Revision `json:"-"`                  // of the store; zero if it is not known
}

// Shared returns the crash as instances tell each other.
func (x Crash) Shared() SharedCrash {
	i := x.Target.Info()
	return SharedCrash{Fingerprint: x.Fingerprint, Family: x.Family, Copies: x.Copies, Content: x.Content, Sent: x.Sent, Ended: x.Ended, Incident: x.Incident, EndedRun: i.ID + "/" + x.Incarnation, Service: i.Service, Version: i.Version, Partial: x.Partial, Answered: x.Answered, Trial: x.Trial, Wide: x.Wide}
}

func (s SharedCrash) row(now time.Time) crash {
	return crash{fingerprint: s.Fingerprint, family: s.Family, copies: s.Copies, content: s.Content, sent: s.Sent, ended: s.Ended, incident: s.Incident, endedRun: s.EndedRun, service: s.Service, version: s.Version, partial: s.Partial, answered: s.Answered, trial: s.Trial, wide: s.Wide, at: now}
}

// shared returns the crash as instances tell each other.
func (x crash) shared() SharedCrash {
	return SharedCrash{Fingerprint: x.fingerprint, Family: x.family, Copies: x.copies, Content: x.content, Sent: x.sent, Ended: x.ended, Incident: x.incident, EndedRun: x.endedRun, Service: x.service, Version: x.version, Partial: x.partial, Answered: x.answered, Trial: x.trial, Wide: x.wide}
}

// Without returns the crash as evidence against its own request and those others that were not
// cleared.
func (s SharedCrash) Without(cleared func(fingerprint uint64) bool) SharedCrash {
	for _, f := range []*uint64{&s.Family, &s.Copies, &s.Content} {
		if cleared(*f) {
			*f = 0
		}
	}
	return s
}

// UpdateSharedCrashes replaces the crashes that the store holds.
func (c *Control) UpdateSharedCrashes(now time.Time, l []SharedCrash) {
	if len(l) == 0 && len(c.sharedCrashes) == 0 {
		return
	}
	type key struct{ incident, endedRun string }
	knownSince := make(map[key]time.Time, len(c.sharedCrashes))
	for _, x := range c.sharedCrashes {
		knownSince[key{x.incident, x.endedRun}] = x.at
	}
	rows := make([]crash, 0, len(l))
	for _, s := range l {
		s, ok := c.uncleared(s)
		if !ok {
			continue
		}
		x := s.row(now)
		if at, ok := knownSince[key{x.incident, x.endedRun}]; ok {
			x.at = at
		}
		rows = append(rows, x)
	}
	rows = c.withKeptCrashes(now, rows)
	c.crashesDirty = c.crashesDirty || !slices.Equal(rows, c.sharedCrashes)
	c.sharedCrashes = rows
}

func (c *Control) addCrash(x crash) bool {
	if c.dismissed(x) {
		return false
	}
	n := 0
	for _, y := range c.crashes {
		if x.same(y) {
			return false
		}
		if x.incident == y.incident {
			n++
		}
	}
	if n >= maxIncidentCrashes {
		return false
	}
	c.crashes = append(c.crashes, x)
	if len(c.crashes) > maxCrashRecords {
		c.crashes = c.crashes[1:]
	}
	c.crashesDirty = true
	c.o.Event("requestCrashedTarget", fmt.Sprintf("%016x", x.fingerprint), "run "+x.endedRun+" request "+x.incident)
	return true
}

// HasCrash reports whether this instance counts a crash that it has recorded. It no longer
// does once the request was answered.
func (c *Control) HasCrash(s SharedCrash) bool {
	x := s.row(time.Time{})
	return slices.ContainsFunc(c.crashes, x.same)
}

// ClearSuspect handles the successful answer of a target of a service to a suspect request,
// or to one of its family: the crashes of that service's targets under it had other causes
// and no longer count. An answer of one shard says nothing of the others.
func (c *Control) ClearSuspect(now time.Time, fingerprint uint64, service string) {
	if c.clearedSuspects[fingerprint] == nil {
		c.clearedSuspects[fingerprint] = map[string]time.Time{}
	}
	c.clearedSuspects[fingerprint][service] = now
	c.crashes = slices.DeleteFunc(c.crashes, func(x crash) bool { return x.fingerprint == fingerprint && x.service == service })
	c.crashesDirty = true
	c.forgetLostHold(fingerprint)
}

// runQuarantine removes expired crashes and decides the verdict on each
// fingerprint. Two independent crashes quarantine it.
func (c *Control) runQuarantine(now time.Time) {
	n := len(c.crashes)
	c.crashes = slices.DeleteFunc(c.crashes, func(x crash) bool { return now.Sub(x.at) > quarantineTime })
	maps.DeleteFunc(c.clearedSuspects, func(_ uint64, m map[string]time.Time) bool {
		maps.DeleteFunc(m, func(_ string, t time.Time) bool { return now.Sub(t) > quarantineTime })
		return len(m) == 0
	})
	if !c.crashesDirty && len(c.crashes) == n && !c.anyShortHoldOver(now) && !c.anyTrialDue(now) {
		return
	}
	c.crashesDirty = false
	before := c.crashVerdicts
	c.crashVerdicts = map[uint64]cowsliproute.Suspicion{}
	all := slices.Concat(c.crashes, c.sharedCrashes)
	for _, x := range all {
		all = append(all, x.againstOthers()...)
	}
	all = slices.DeleteFunc(all, c.dismissed)
	seen := make(map[uint64][]crash, len(all))
	for _, x := range all {
		x.partial = x.partial || c.answeredSince(x)
		s := cowsliproute.Suspicion{Verdict: cowsliproute.Suspect, Whole: !x.partial, Since: x.at}
		if x.partial {
			s.Services = []string{x.service}
		}
		if slices.ContainsFunc(seen[x.fingerprint], x.independent) {
			s.Verdict = cowsliproute.Quarantined
		}
		seen[x.fingerprint] = append(seen[x.fingerprint], x)
		c.crashVerdicts[x.fingerprint] = c.crashVerdicts[x.fingerprint].Merge(s)
	}
	c.shortenHolds(now, seen)
	c.findNewHolds(now)
	c.applyHolds(now)
	for f, v := range c.crashVerdicts {
		if v.Verdict == cowsliproute.Quarantined && before[f].Verdict != v.Verdict {
			c.o.Event("requestQuarantined", fmt.Sprintf("%016x", f), holdDetail(now, v))
		}
	}
	for f, v := range before {
		if v.Verdict == cowsliproute.Quarantined && c.crashVerdicts[f].Verdict != v.Verdict {
			c.o.Event("requestReleased", fmt.Sprintf("%016x", f), "its hold is over")
		}
	}
	c.viewDirty = true
}

// dismissed reports whether an answer of the crashed target's service to the request came
// after the crash became known.
func (c *Control) dismissed(x crash) bool {
	t, ok := c.clearedSuspects[x.fingerprint][x.service]
	return ok && !x.at.After(t)
}

// answeredSince reports whether any answer to the request came after the crash became known.
func (c *Control) answeredSince(x crash) bool {
	for _, t := range c.clearedSuspects[x.fingerprint] {
		if !x.at.After(t) {
			return true
		}
	}
	return false
}

// againstOthers returns the crash as evidence against other requests that may crash targets
// together with its own. Repeats of one request count once there: they say nothing of the others.
func (x crash) againstOthers() []crash {
	var l []crash
	for i, subject := range []uint64{x.family, x.copies, x.content} {
		if subject != 0 {
			y := x
			y.incident, y.fingerprint, y.ofCallers = fmt.Sprintf("%016x", x.fingerprint), subject, i > 0
			y.family, y.copies, y.content = 0, 0, 0
			l = append(l, y)
		}
	}
	return l
}

// overlaps reports whether two requests were in flight at the same time. Those of many callers
// may have the same content, and all end at once when a failure domain is lost.
func (x crash) overlaps(y crash) bool { return x.sent.Before(y.ended) && y.sent.Before(x.ended) }

// same reports whether two rows are the same crash.
func (x crash) same(y crash) bool { return x.incident == y.incident && x.endedRun == y.endedRun }

// independent reports whether two crashes have the same fingerprint but neither
// the same sending, which may have reached many targets, nor the same run of a target,
// whose crash may have hit many requests. If other services answered, both crashes must be
// of one service: a failure domain that is lost ends runs of many.
func (x crash) independent(y crash) bool {
	if x.fingerprint != y.fingerprint || x.incident == y.incident || x.endedRun == y.endedRun || x.ofCallers && x.overlaps(y) {
		return false
	}
	return x.service == y.service || !x.partial && !y.partial
}

// countCrashingRequests counts the distinct requests that crashed a move's new
// version but not the old one.
func (c *Control) countCrashingRequests(m *move) int {
	n := map[uint64]bool{}
	for _, x := range c.crashes {
		if x.service == m.config.Service() && x.version == m.config.To() {
			n[x.fingerprint] = true
		}
	}
	for _, x := range c.crashes {
		if x.service == m.config.Service() && x.version == m.config.From() {
			delete(n, x.fingerprint)
		}
	}
	return len(n)
}

func (c *Control) crashMessages(now time.Time) []*cowslipmessage.Crash {
	var l []*cowslipmessage.Crash
	for _, x := range c.crashes {
		l = append(l, &cowslipmessage.Crash{Fingerprint: x.fingerprint, Incident: x.incident, Service: x.service, Version: x.version, Death: x.endedRun, AgeMillis: now.Sub(x.at).Milliseconds()})
	}
	return l
}
