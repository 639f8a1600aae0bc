package cowslipentry

import (
	"strings"

	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/cespare/xxhash/v2"
)

// maxLoggedNames limits the shards, and the targets, that a log line names.
const maxLoggedNames = 8

// observeReply counts and logs how a request ended.
func (f *forward) observeReply(x Reply) {
	needed := len(f.services)
	if f.relayedBy != "" {
		// The instance that asks the targets counts the parts.
		needed = 0
	}
	f.metrics.routes.observe(f.route.Config().Name(), x, f.clock.Since(f.start), needed, len(f.attempts))
	f.observeWorkspace(x)
	f.metrics.subRequestsNeeded.Add(int64(needed))
	f.metrics.observe(f.clock.Since(f.start), x.Kind == ReplyTarget || x.Kind == ReplyGathered && x.Missing == 0)
	l := []any{
		"id", f.request.ID, "route", f.route.Config().Name(), "outcome", string(x.Kind), "tookMillis", f.clock.Since(f.start).Milliseconds(),
		"revision", f.view.Revision(), "storeAgeMillis", f.storeAgeMillis(), "parts", len(f.services), "hedgeAfterMillis", f.route.HedgeAfter().Milliseconds(),
	}
	if f.workspace != nil {
		l = append(l, "workspace", f.workspace.Name(), "priority", f.priority())
	}
	if x.Reason != "" {
		l = append(l, "reason", x.Reason)
	}
	if f.suspicion.Verdict != cowsliproute.Harmless {
		l = append(l, "fingerprint", formatFingerprint(f.fingerprint), "family", formatFingerprint(f.family), "copies", formatFingerprint(f.copies), "content", formatFingerprint(f.content), "crashVerdict", f.suspicion.Verdict.String(), "caller", f.request.Caller)
	}
	if f.relayedBy != "" {
		f.log.Info("request", append(l, "relay", f.relayedBy, "missingParts", x.Missing)...)
		return
	}
	if n := f.missingServices(); len(n) > 0 {
		l = append(l, "missing", n)
	}
	if f.dispatch != nil {
		if d := f.dispatch.DeniedHedges(); d != (cowslipquery.DeniedHedges{}) {
			l = append(l, "hedgesDenied", map[string]any{"budget": d.NoBudget, "room": d.NoSlot})
		}
	}
	f.log.Info("request", append(l, "attempts", f.attemptSummary())...)
}

// missingServices returns the names of services whose parts were not answered, up
// to maxLoggedNames.
func (f *forward) missingServices() []string {
	var l []string
	for i, n := range f.services {
		if len(l) < maxLoggedNames && (f.dispatch == nil || f.dispatch.Winner(i) < 0) {
			l = append(l, n)
		}
	}
	return l
}

// attemptSummary counts the attempts by outcome and names up to maxLoggedNames
// targets of attempts that did not succeed. Attempts still in flight count as
// cancelled.
func (f *forward) attemptSummary() map[string]any {
	n := map[string]int{}
	var bad []string
	for _, x := range f.attempts {
		n[x.outcome.String()]++
		if x.outcome != cowsliptarget.OK && len(bad) < maxLoggedNames {
			bad = append(bad, x.target.Info().ID+" "+x.outcome.String())
		}
	}
	m := make(map[string]any, len(n)+1)
	for k, v := range n {
		m[k] = v
	}
	if len(bad) > 0 {
		m["targets"] = bad
	}
	return m
}

// logLost logs a request that targets broke off or did not answer. Hashes of its parts tell
// whether it is one that comes again, although a part of it has changed.
func (f *forward) logLost(l []forwardResult) {
	var targets []string
	for _, x := range l[:min(len(l), maxLoggedNames)] {
		targets = append(targets, x.target.Info().ID+" "+x.outcome.String())
	}
	_, query, _ := strings.Cut(f.request.URI, "?")
	f.log.Info("requestLost", "id", f.request.ID, "fingerprint", formatFingerprint(f.fingerprint), "family", formatFingerprint(f.family), "copies", formatFingerprint(f.copies), "content", formatFingerprint(f.content),
		"caller", f.request.Caller, "method", f.request.Method, "host", f.request.Host, "pathHash", formatFingerprint(xxhash.Sum64String(f.request.Path)),
		"queryHash", formatFingerprint(xxhash.Sum64String(query)), "bodyHash", formatFingerprint(xxhash.Sum64(f.request.Body)), "targets", targets)
}
