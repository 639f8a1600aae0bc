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

// Answer is the end of a request.
type Answer struct {
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

// Send sends a request to a target, once unless it is certain not to have run,
// and returns the last outcome.
type Send func(ctx context.Context) (string, cowsliptarget.Outcome)

// Constants of the claim's calls to the platform.
const (
	callTimeout  = 500 * time.Millisecond
	settlePause  = 50 * time.Millisecond
	pollPause    = 100 * time.Millisecond
	cleanupPause = time.Second
	cleanupTries = 60
)

// Recorder runs keyed requests. Set all fields but Later before use; it is
// safe for concurrent use.
type Recorder struct {
	Entry string
	Store *cowslipplatform.Store
	Clock clock.Clock

	// Later runs a task that the caller need not wait for: the writing of a
	// claim's end while the platform is away. Without it such a claim stays.
	Later func(task func(context.Context))
}

// Unkeyed turns the outcome of a request without a key into an answer.
func Unkeyed(result string, o cowsliptarget.Outcome) Answer {
	switch {
	case o == cowsliptarget.OK:
		return Answer{Verdict: Ran, Result: result}
	case o.NotRun():
		return Answer{Verdict: NotRun}
	}
	return Answer{Verdict: Unknown}
}

// Run claims the key, sends the request if the claim is this call's, and keeps
// the result. It ends with ctx.
func (r *Recorder) Run(ctx context.Context, q Request, send Send) Answer {
	h := &holder{Recorder: r, request: q, key: KeyPrefix + q.Service + "/" + q.Key}
	h.claim = Claim{ID: q.ID, Entry: r.Entry, State: Claimed, Fingerprint: q.Fingerprint, At: r.Clock.Now()}
	if a, ours := h.take(ctx); !ours {
		return a
	}
	if ctx.Err() != nil {
		h.finish(ctx, Released, "")
		return Answer{Verdict: NotRun}
	}
	s, o := send(ctx)
	a := Unkeyed(s, o)
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

// holder is one call's work on a claim.
type holder struct {
	*Recorder
	request  Request
	key      string
	claim    Claim
	revision uint64
	doubtful bool // a write of the claim was sent whose answer was lost
}

// take claims the key. If the claim is not this call's, the answer says what
// became of the request.
func (h *holder) take(ctx context.Context) (Answer, bool) {
	var expect uint64
	for ctx.Err() == nil {
		n, err := h.write(ctx, h.claim, expect)
		if err == nil {
			h.revision = n
			return Answer{}, true
		}
		if !errors.Is(err, cowslipplatform.ErrConflict) {
			h.doubtful = true
		}
		c, v, err := h.read(ctx)
		if errors.Is(err, cowslipplatform.ErrNotFound) {
			expect = 0
			h.pause(ctx, settlePause)
			continue
		}
		if err != nil {
			h.pause(ctx, settlePause)
			continue
		}
		switch {
		case c.ID == h.claim.ID && c.State == Claimed:
			h.revision = v.Revision
			return Answer{}, true
		case c.Fingerprint != h.claim.Fingerprint:
			return Answer{Verdict: KeyReused}, false
		case c.State == Released:
			expect = v.Revision
		case c.State == Done:
			return Answer{Verdict: Ran, Result: c.Result, Repeated: true}, false
		case c.State == Unclear:
			return Answer{Verdict: Unknown}, false
		default:
			h.pause(ctx, pollPause)
			if ctx.Err() != nil {
				return Answer{Verdict: Unknown}, false
			}
		}
	}
	if h.doubtful {
		h.releaseLater()
	}
	return Answer{Verdict: NotRun}, false
}

func (h *holder) write(ctx context.Context, c Claim, expect uint64) (uint64, error) {
	b, err := c.encode()
	if err != nil {
		return 0, err
	}
	t, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return h.Store.Put(t, cowslipplatform.Write{Key: h.key, Data: b, Expect: expect, TTL: Retention})
}

func (h *holder) read(ctx context.Context) (Claim, cowslipplatform.Value, error) {
	t, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := h.Store.Get(t, h.key)
	if err != nil {
		return Claim{}, v, err
	}
	c, err := DecodeClaim(v.Data)
	return c, v, err
}

func (h *holder) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-h.Clock.After(d):
	}
}

// finish writes the claim's end, later if the platform does not answer now.
// Only this call's own claim is ever overwritten.
func (h *holder) finish(ctx context.Context, s State, result string) {
	c := h.claim
	c.State = s
	c.Result = result
	t, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	if _, err := h.write(t, c, h.revision); err == nil || errors.Is(err, cowslipplatform.ErrConflict) {
		return
	}
	h.later(func(ctx context.Context) bool {
		_, err := h.write(ctx, c, h.revision)
		return err == nil || errors.Is(err, cowslipplatform.ErrConflict)
	})
}

// releaseLater releases a claim whose write may have taken effect although its
// answer was lost, after the caller was told "not run".
func (h *holder) releaseLater() {
	c := h.claim
	c.State = Released
	h.later(func(ctx context.Context) bool {
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

func (h *holder) later(try func(context.Context) bool) {
	if h.Later == nil {
		return
	}
	h.Later(func(ctx context.Context) {
		for range cleanupTries {
			if try(ctx) || ctx.Err() != nil {
				return
			}
			h.pause(ctx, cleanupPause)
		}
	})
}
