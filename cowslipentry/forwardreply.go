package cowslipentry

import (
	"slices"
	"time"

	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliptarget"
)

func notRunReply(reason string, after time.Duration) Reply {
	return Reply{Kind: ReplyNotRun, Reason: reason, RetryAfter: after}
}

// mergedReply merges the parts that were answered. Of several answers with the
// same signature, only the first counts.
func (f *forward) mergedReply() Reply {
	var bodies [][]byte
	x := Reply{Kind: ReplyGathered}
	for i := range f.services {
		w := f.dispatch.Winner(i)
		if w < 0 || slices.Contains(x.Signatures, f.attempts[w].info.Signature) {
			x.Missing++
			continue
		}
		x.Signatures = append(x.Signatures, f.attempts[w].info.Signature)
		bodies = append(bodies, f.attempts[w].response.Body)
	}
	if len(x.Signatures) < f.minParts {
		return f.failureReply("too few shards answered")
	}
	x.Body = cowslipquery.MergeTop(bodies, f.route.Config().Top())
	f.observeLag(x.Missing)
	return x
}

// observeLag records how late an answer was that closed with parts missing.
func (f *forward) observeLag(missing int) {
	if d := f.clock.Since(f.partialAt); missing > 0 && d > 0 {
		f.lag.observe(d)
	}
}

// singleReply returns the response of the target that answered, or the error
// response of a target that failed.
func (f *forward) singleReply() Reply {
	if w := f.dispatch.Winner(0); w >= 0 {
		return Reply{Kind: ReplyTarget, Response: f.handOver(w)}
	}
	for _, x := range f.attempts {
		if x.outcome == cowsliptarget.Failed {
			return Reply{Kind: ReplyTarget, Response: f.handOver(x.attempt), Reason: "the target failed"}
		}
	}
	return f.failureReply("no target answered")
}

// failureReply returns the reply to a request without an answer. Its kind is
// ReplyNotRun only if it is certain that the request has not run and will not.
func (f *forward) failureReply(reason string) Reply {
	switch {
	case f.dispatch != nil && f.dispatch.NotRun():
		return notRunReply(reason, f.returnDelay())
	case !f.clock.Now().Before(f.closeAt):
		return Reply{Kind: ReplyTimeout, Reason: reason}
	}
	return Reply{Kind: ReplyFailed, Reason: reason}
}
