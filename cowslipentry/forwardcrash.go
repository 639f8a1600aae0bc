package cowslipentry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

const (
	// crashesPrefix is the prefix of the keys through which instances tell each other
	// of targets that crashed under a request.
	crashesPrefix = "cowslipflow/crashes/"
	// crashLeaseTTL is how long a crash stays in the store.
	crashLeaseTTL = 10 * time.Minute
	// crashLeaseReuse is how long one lease serves for all crashes that are written, which
	// costs the platform fewer calls.
	crashLeaseReuse = time.Minute
	// maxCrashProbes limits the targets that are checked after a request.
	maxCrashProbes = 8
)

// fingerprint identifies a request by all that selects its answer. Repeated requests have
// the same fingerprint.
func (r Request) fingerprint() uint64 {
	return r.hash(r.Method, r.Host, r.URI)
}

// family identifies requests by their path, caller and body. A request that crashes targets
// may come again with another query string.
func (r Request) family() uint64 {
	return r.hash(r.Path)
}

// copies identifies a request by all that selects its answer but the caller. A request that
// crashes targets may come again from another address.
func (r Request) copies() uint64 {
	r.Caller = ""
	return r.hash("copies", r.Method, r.Host, r.URI)
}

// content identifies requests by their path and body. One that crashes targets may come again
// from another address and with another query string.
func (r Request) content() uint64 {
	r.Caller = ""
	return r.hash("content", r.Path)
}

// hash returns a hash of the caller, the body and parts of the head.
func (r Request) hash(head ...string) uint64 {
	h := xxhash.New()
	for _, s := range append(head, r.Caller) {
		h.WriteString(s)
		h.Write([]byte{0})
	}
	h.Write(r.Body)
	return h.Sum64()
}

// reportCrashes checks, in the background, whether the request crashed the targets that
// broke it off. It crashes every target of a service that runs it, so one that another
// target of the service has answered is not the cause, and an answer clears a suspect
// request of the crashes in that service.
func (f *forward) reportCrashes(x Reply) {
	answered := f.answeredServices(x)
	if len(f.services) > 0 && len(answered) == len(f.services) {
		f.answers.add(f.clock.Now(), f.fingerprint)
		f.answers.add(f.clock.Now(), f.content)
	}
	if f.clears(answered) {
		f.runInBackground(func(ctx context.Context) { f.clearSuspect(ctx, answered) })
	}
	if f.trial != nil {
		f.endTrial()
	}
	var lost, cancelled []forwardResult
	for _, x := range f.attempts {
		switch x.outcome {
		case cowsliptarget.Lost, cowsliptarget.Corrupt:
			if !answered[x.target.Info().Service] {
				lost = append(lost, x)
			}
		case cowsliptarget.Cancelled:
			if !answered[x.target.Info().Service] {
				cancelled = append(cancelled, x)
			}
		}
	}
	// Only the first ones are checked, and those that were cancelled may not have run.
	if lost = append(lost, cancelled...); len(lost) > 0 {
		f.logLost(lost)
		ended := f.clock.Now()
		f.runInBackground(func(ctx context.Context) {
			f.probeLost(ctx, ended, lost[:min(len(lost), maxCrashProbes)], len(answered) > 0)
		})
	}
}

// answeredServices returns the services that answered the request. Of a request that a relay
// served, only whole answers tell.
func (f *forward) answeredServices(x Reply) map[string]bool {
	m := map[string]bool{}
	for _, a := range f.attempts {
		if a.outcome == cowsliptarget.OK {
			m[a.target.Info().Service] = true
		}
	}
	if f.relayedBy != "" && x.Kind == ReplyGathered && x.Missing == 0 {
		for _, n := range f.services {
			m[n] = true
		}
	}
	return m
}

// clears reports whether answers of the given services clear the request of crashes. One that
// was sent before the first of them may have been answered before it began to crash targets.
func (f *forward) clears(answered map[string]bool) bool {
	s := f.crashSuspicion(f.Entry.view.Load())
	if f.start.Before(s.Since) {
		return false
	}
	return s.Whole && len(answered) > 0 || slices.ContainsFunc(s.Services, func(n string) bool { return answered[n] })
}

// subjects returns the fingerprints under which crashes are known that concern the request.
func (f *forward) subjects() []uint64 {
	return []uint64{f.fingerprint, f.family, f.copies, f.content}
}

// crashSuspicion returns what is known of crashes that concern the request.
func (f *forward) crashSuspicion(v *cowsliproute.View) cowsliproute.Suspicion {
	var s cowsliproute.Suspicion
	for _, n := range f.subjects() {
		s = s.Merge(v.Suspicion(n))
	}
	return s
}

// suspect sets what identifies the request and what is known of crashes that concern it.
func (f *forward) suspect() {
	r := f.request
	f.fingerprint, f.family, f.copies, f.content = r.fingerprint(), r.family(), r.copies(), r.content()
	f.suspicion = f.sendingSuspicion()
}

// sendingSuspicion returns what decides how the request is sent. One crash under another
// caller's request says nothing of it.
func (f *forward) sendingSuspicion() cowsliproute.Suspicion {
	s := f.view.Suspicion(f.fingerprint).Merge(f.view.Suspicion(f.family))
	for _, n := range []uint64{f.copies, f.content} {
		if c := f.view.Suspicion(n); c.Trial || c.Verdict == cowsliproute.Quarantined {
			s = s.Merge(c)
		}
	}
	return s
}

// probeLost reports the targets that have crashed, those whose hosts refuse connections, and
// those that may have. Partial says whether targets of other services answered the request,
// which ended at the given time.
func (f *forward) probeLost(ctx context.Context, ended time.Time, l []forwardResult, partial bool) {
	answered := f.answers.has(f.clock.Now(), f.fingerprint) || f.answers.has(f.clock.Now(), f.content)
	var unanswered []cowslipcontrol.Crash
	for _, x := range l {
		k := cowslipcontrol.Crash{Fingerprint: f.fingerprint, Family: f.family, Copies: f.copies, Content: f.content, Incident: f.incident, Sent: f.start, Ended: ended, Target: x.target, Incarnation: x.incarnation, Partial: partial, Answered: answered, Trial: f.suspicion.Trial, Wide: f.gathers()}
		if f.mayStop(x.target) || !f.refuses(ctx, x) {
			unanswered = append(unanswered, k)
			continue
		}
		f.metrics.crashes.Add(1)
		share := false
		f.do(func(now time.Time, c *cowslipcontrol.Control) { share = c.Crashed(now, k) })
		if share {
			f.shareCrash(f.Entry.crashes, k.Shared())
		}
	}
	f.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Unanswered(ended, unanswered...) })
}

// mayStop reports whether a target may have been stopped as planned, since its service moves to
// another version. Whether it crashed shows once its entry is gone and the end of the move known.
func (f *forward) mayStop(t *cowsliproute.Target) bool {
	s := f.Entry.view.Load().Service(t.Info().Service)
	return s != nil && s.MayStop(t.Info().Version)
}

// refuses reports whether the host of a target that broke a request off refuses connections.
func (f *forward) refuses(ctx context.Context, x forwardResult) bool {
	reason := "its host does not refuse connections"
	switch {
	case x.outcome == cowsliptarget.Cancelled:
		return false
	case x.target.Leaving():
		reason = "the target is leaving"
	case f.forwarder.Refuses(ctx, x.target.Info().Addr):
		return true
	}
	f.log.Info("crash not counted", "id", f.request.ID, "fingerprint", formatFingerprint(f.fingerprint), "target", x.target.Info().ID, "outcome", x.outcome.String(), "reason", reason)
	return false
}

// crashKeys returns the prefix of the keys of all crashes under a request.
func crashKeys(fingerprint uint64) string {
	return crashesPrefix + formatFingerprint(fingerprint) + "/"
}

// formatFingerprint returns a fingerprint as keys, events and log lines show it.
func formatFingerprint(fingerprint uint64) string { return fmt.Sprintf("%016x", fingerprint) }

// clearSuspect dismisses the crashes in the given services under a request that targets of
// these services have answered.
func (f *forward) clearSuspect(ctx context.Context, services map[string]bool) {
	if f.outdated("requestNotCleared") {
		return
	}
	f.event("requestCleared", formatFingerprint(f.fingerprint), "targets answered request "+f.request.ID)
	f.do(func(now time.Time, c *cowslipcontrol.Control) {
		for n := range services {
			for _, x := range f.subjects() {
				c.ClearSuspect(now, x, n)
			}
		}
	})
	// Other instances must hear of the answer before the hold is gone, or they would hold the
	// request again by the crashes that they know of.
	f.shareClearings(ctx, services)
	f.liftHold(ctx, services)
	for _, v := range valuesBelow(f.mirror.Values(), crashesPrefix) {
		f.untilAccepted(ctx, "crash not removed from the store", func(t context.Context) error {
			err := f.clearShared(t, v, services)
			if errors.Is(err, cowslipplatform.ErrConflict) {
				// It has changed since, or another instance has removed it.
				return nil
			}
			return err
		})
	}
}

// outdated reports whether the process stood still since the request arrived, and logs it under
// the given name. Targets may have crashed under other copies of the request since it was answered.
func (f *forward) outdated(name string) bool {
	if !f.pauses.since(f.start) {
		return false
	}
	f.log.Info(name, "id", f.request.ID, "fingerprint", formatFingerprint(f.fingerprint), "reason", "the process stood still since the request arrived")
	return true
}

// clearShared removes a crash in one of the services from the store if it happened under the
// request. One that happened under another request is no longer evidence against this one.
func (f *forward) clearShared(ctx context.Context, v cowslipplatform.Value, services map[string]bool) error {
	var s cowslipcontrol.SharedCrash
	if err := json.Unmarshal(v.Data, &s); err != nil {
		return err
	}
	if !services[s.Service] {
		return nil
	}
	if s.Fingerprint == f.fingerprint {
		return f.opts.Store.Delete(ctx, v.Key, v.Revision)
	}
	left := s.Without(func(n uint64) bool { return slices.Contains(f.subjects(), n) })
	if left == s {
		return nil
	}
	b, err := json.Marshal(left)
	if err != nil {
		return err
	}
	l, err := f.opts.Store.Grant(ctx, crashLeaseTTL)
	if err != nil {
		return err
	}
	_, err = f.opts.Store.Put(ctx, cowslipplatform.Write{Key: v.Key, Data: b, Expect: v.Revision, Lease: l})
	return err
}
