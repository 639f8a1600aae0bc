package cowsliprecord

import (
	"context"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliptarget"

	"github.com/juju/errors"
	"k8s.io/utils/clock"
)

// Verdict tells a caller whether its request ran.
type Verdict string

// The verdicts.
const (
	Ran       Verdict = "ran"       // the request ran once, and the result is available
	NotRun    Verdict = "notRun"    // the request did not run and will not run for this call
	Unknown   Verdict = "unknown"   // the request may have run
	KeyReused Verdict = "keyReused" // the key belongs to a different request; this request did not run
)

// Response tells a caller how its request ended.
type Response struct {
	Verdict  Verdict
	Result   string
	Repeated bool // the result comes from an earlier call with the same key
}

// Request is a request with an idempotency key.
type Request struct {
	ID          string // unique per call
	Service     string
	Key         string
	Fingerprint uint64
}

// SendFunc sends a request to a target and returns the result and outcome of the
// last attempt. It may retry only if the request certainly has not run yet.
type SendFunc func(ctx context.Context) (string, cowsliptarget.Outcome)

// Timeout, retry delays and retry limit of calls to the platform's store.
const (
	storeTimeout       = 500 * time.Millisecond
	claimRetryDelay    = 50 * time.Millisecond
	pollInterval       = 100 * time.Millisecond // while another call holds the claim
	cleanupRetryDelay  = time.Second            // between background writes of a claim's final state
	maxCleanupAttempts = 60
)

// Recorder executes requests with idempotency keys. All fields but Background
// must be set before use. It is safe for concurrent use.
type Recorder struct {
	Entry string
	Store *cowslipplatform.Store
	Clock clock.Clock

	// Background runs a task without blocking the caller. The tasks retry writing
	// the final state of a claim while the platform is unavailable. If Background
	// is nil, such a claim keeps its last stored state.
	Background func(task func(context.Context))
}

// ResponseForOutcome returns the response to a request from the result and outcome
// of sending it. It also serves requests without an idempotency key, which need no
// Recorder.
func ResponseForOutcome(result string, o cowsliptarget.Outcome) Response {
	switch {
	case o == cowsliptarget.OK:
		return Response{Verdict: Ran, Result: result}
	case o.NotRun():
		return Response{Verdict: NotRun}
	}
	return Response{Verdict: Unknown}
}

// Run claims the key, sends the request if the claim succeeds, and stores the
// result. When ctx ends, it stops after at most one more write of the claim's
// final state, which storeTimeout limits.
func (r *Recorder) Run(ctx context.Context, q Request, send SendFunc) Response {
	h := &claimAttempt{Recorder: r, request: q, key: KeyPrefix + q.Service + "/" + q.Key}
	h.claim = Claim{ID: q.ID, Entry: r.Entry, State: Claimed, Fingerprint: q.Fingerprint, At: r.Clock.Now()}
	if a, claimed := h.acquire(ctx); !claimed {
		return a
	}
	if ctx.Err() != nil {
		h.finish(ctx, Released, "")
		return Response{Verdict: NotRun}
	}
	s, o := send(ctx)
	a := ResponseForOutcome(s, o)
	switch a.Verdict {
	case Ran:
		h.finish(ctx, Done, s)
	case NotRun:
		h.finish(ctx, Released, "")
	default:
		h.finish(ctx, Unclear, "")
	}
	return a
}

// claimAttempt is one call's attempt to claim a key.
type claimAttempt struct {
	*Recorder
	request   Request
	key       string
	claim     Claim
	revision  cowslipplatform.Revision
	uncertain bool // a failed write of the claim may have taken effect
}

// acquire claims the key and reports whether it succeeded. If not, the response
// is the final one for the caller.
func (h *claimAttempt) acquire(ctx context.Context) (Response, bool) {
	var expect cowslipplatform.Revision
	last := NotRun // verdict if ctx ends now
	for ctx.Err() == nil {
		n, err := h.write(ctx, h.claim, expect)
		if err == nil {
			h.revision = n
			return Response{}, true
		}
		if !errors.Is(err, cowslipplatform.ErrConflict) {
			h.uncertain = true
		}
		c, v, err := h.read(ctx)
		if errors.Is(err, cowslipplatform.ErrNotFound) {
			expect = cowslipplatform.Revision{}
			h.sleep(ctx, claimRetryDelay)
			continue
		}
		if err != nil {
			h.sleep(ctx, claimRetryDelay)
			continue
		}
		switch {
		case c.ID == h.claim.ID && c.State == Claimed:
			h.revision = v.Revision
			return Response{}, true
		case c.Fingerprint != h.claim.Fingerprint:
			return Response{Verdict: KeyReused}, false
		case c.State == Released:
			expect, last = v.Revision, NotRun
		case c.State == Done:
			return Response{Verdict: Ran, Result: c.Result, Repeated: true}, false
		case c.State == Unclear:
			return Response{Verdict: Unknown}, false
		default:
			// Another call holds the claim.
			last = Unknown
			h.sleep(ctx, pollInterval)
		}
	}
	if h.uncertain {
		h.releaseInBackground()
	}
	return Response{Verdict: last}, false
}

func (h *claimAttempt) write(ctx context.Context, c Claim, expect cowslipplatform.Revision) (cowslipplatform.Revision, error) {
	b, err := c.encode()
	if err != nil {
		return cowslipplatform.Revision{}, err
	}
	t, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return h.Store.Put(t, cowslipplatform.Write{Key: h.key, Data: b, Expect: expect, TTL: Retention})
}

func (h *claimAttempt) read(ctx context.Context) (Claim, cowslipplatform.Value, error) {
	t, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	v, err := h.Store.Get(t, h.key)
	if err != nil {
		return Claim{}, v, err
	}
	c, err := DecodeClaim(v.Data)
	return c, v, err
}

func (h *claimAttempt) sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(d):
	}
}

// finish writes the final state of the claim, in the background if the first
// write fails. It overwrites nothing but this call's own claim.
func (h *claimAttempt) finish(ctx context.Context, s State, result string) {
	c := h.claim
	c.State = s
	c.Result = result
	t, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	if _, err := h.write(t, c, h.revision); err == nil || errors.Is(err, cowslipplatform.ErrConflict) {
		return
	}
	h.retryInBackground(func(ctx context.Context) bool {
		_, err := h.write(ctx, c, h.revision)
		return err == nil || errors.Is(err, cowslipplatform.ErrConflict)
	})
}

// releaseInBackground releases a claim whose write failed but may have taken
// effect, because the caller is told that the request did not run.
func (h *claimAttempt) releaseInBackground() {
	c := h.claim
	c.State = Released
	h.retryInBackground(func(ctx context.Context) bool {
		o, v, err := h.read(ctx)
		if err != nil {
			return false
		}
		if o.ID != c.ID || o.State != Claimed {
			return true
		}
		_, err = h.write(ctx, c, v.Revision)
		return err == nil || errors.Is(err, cowslipplatform.ErrConflict)
	})
}

func (h *claimAttempt) retryInBackground(try func(context.Context) bool) {
	if h.Background == nil {
		return
	}
	h.Background(func(ctx context.Context) {
		for range maxCleanupAttempts {
			if try(ctx) || ctx.Err() != nil {
				return
			}
			h.sleep(ctx, cleanupRetryDelay)
		}
	})
}
