package cowsliprecord

import (
	"context"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliptarget"

	"github.com/juju/errors"
	"k8s.io/utils/clock"
)

// Verdict is what a caller is told of its request.
type Verdict string

// The verdicts.
const (
	Ran       Verdict = "ran"       // ran once; the result is there
	NotRun    Verdict = "notRun"    // did not run, and will not for this call
	Unknown   Verdict = "unknown"   // may have run
	KeyReused Verdict = "keyReused" // the key belongs to a different request; this one did not run
)

// Response is the end of a request.
type Response struct {
	Verdict  Verdict
	Result   string
	Repeated bool // the result is that of an earlier call with the same key
}

// Request is a keyed request.
type Request struct {
	ID          string // unique for this call
	Service     string
	Key         string
	Fingerprint uint64
}

// SendFunc sends a request to a target, once unless it is certain not to have run,
// and returns the last outcome.
type SendFunc func(ctx context.Context) (string, cowsliptarget.Outcome)

// Constants of the claim's calls to the platform.
const (
	storeTimeout       = 500 * time.Millisecond
	claimRetryDelay    = 50 * time.Millisecond
	pollInterval       = 100 * time.Millisecond
	cleanupRetryDelay  = time.Second
	maxCleanupAttempts = 60
)

// Recorder runs keyed requests. Set all fields but Later before use; it is
// safe for concurrent use.
type Recorder struct {
	Entry string
	Store *cowslipplatform.Store
	Clock clock.Clock

	// Background runs a task that the caller need not wait for: the writing of a
	// claim's end while the platform is away. Without it such a claim stays.
	Background func(task func(context.Context))
}

// ResponseForOutcome turns the outcome of a request without a key into an answer.
func ResponseForOutcome(result string, o cowsliptarget.Outcome) Response {
	switch {
	case o == cowsliptarget.OK:
		return Response{Verdict: Ran, Result: result}
	case o.NotRun():
		return Response{Verdict: NotRun}
	}
	return Response{Verdict: Unknown}
}

// Run claims the key, sends the request if the claim is this call's, and keeps
// the result. It ends with ctx.
func (r *Recorder) Run(ctx context.Context, q Request, send SendFunc) Response {
	h := &claimAttempt{Recorder: r, request: q, key: KeyPrefix + q.Service + "/" + q.Key}
	h.claim = Claim{ID: q.ID, Entry: r.Entry, State: Claimed, Fingerprint: q.Fingerprint, At: r.Clock.Now()}
	if a, ours := h.acquire(ctx); !ours {
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

// claimAttempt is one call's work on a claim.
type claimAttempt struct {
	*Recorder
	request   Request
	key       string
	claim     Claim
	revision  uint64
	uncertain bool // a write of the claim was sent whose answer was lost
}

// acquire claims the key. If the claim is not this call's, the answer says what
// became of the request.
func (h *claimAttempt) acquire(ctx context.Context) (Response, bool) {
	var expect uint64
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
			expect = 0
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
			expect = v.Revision
		case c.State == Done:
			return Response{Verdict: Ran, Result: c.Result, Repeated: true}, false
		case c.State == Unclear:
			return Response{Verdict: Unknown}, false
		default:
			h.sleep(ctx, pollInterval)
			if ctx.Err() != nil {
				return Response{Verdict: Unknown}, false
			}
		}
	}
	if h.uncertain {
		h.releaseInBackground()
	}
	return Response{Verdict: NotRun}, false
}

func (h *claimAttempt) write(ctx context.Context, c Claim, expect uint64) (uint64, error) {
	b, err := c.encode()
	if err != nil {
		return 0, err
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

// finish writes the claim's end, later if the platform does not answer now.
// Only this call's own claim is ever overwritten.
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

// releaseInBackground releases a claim whose write may have taken effect although its
// answer was lost, after the caller was told "not run".
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
