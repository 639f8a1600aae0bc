package cowslipentry

import (
	"context"
	"crypto/subtle"
	"fmt"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/juju/errors"
)

const (
	applyTimeout     = 3 * time.Second
	readBackInterval = 100 * time.Millisecond
)

// ApplyRequest is the body of POST /v1/config.
type ApplyRequest struct {
	Text   string `json:"text"`
	By     string `json:"by"`
	EditID string `json:"editId"` // idempotency key of the edit; generated if empty
}

// ApplyAnswer is the response to POST /v1/config for an accepted edit.
type ApplyAnswer struct {
	Revision uint64 `json:"revision"`
	EditID   string `json:"editId"`
}

func (e *Entry) operatorServer() *server.Hertz {
	h := e.newServer(PortOperators, e.opts.Operators, e.opts.OperatorsTLS)
	h.GET("/v1/ready", e.handleReady)
	g := h.Group("/", e.authorize)
	g.GET("/v1/config", e.handleConfig)
	g.POST("/v1/config", e.handleApply)
	g.GET("/v1/status", func(_ context.Context, c *app.RequestContext) {
		u := e.usageStatus()
		sendReport(e, c, func(now time.Time, k *cowslipcontrol.Control) any {
			return InstanceStatus{k.Status(now), u, e.admissions.status(now), e.storeProblems.status()}
		})
	})
	g.GET("/v1/moves", func(_ context.Context, c *app.RequestContext) {
		sendReport(e, c, func(now time.Time, k *cowslipcontrol.Control) any { return k.Moves(now) })
	})
	g.GET("/v1/failureDomains", func(_ context.Context, c *app.RequestContext) {
		sendReport(e, c, func(now time.Time, k *cowslipcontrol.Control) any { return k.FailureDomains(now) })
	})
	g.GET("/v1/usage", func(_ context.Context, c *app.RequestContext) { c.JSON(200, e.usageReport()) })
	g.POST("/v1/route", e.handleRoute)
	g.GET("/v1/timeline", func(ctx context.Context, c *app.RequestContext) { c.JSON(200, e.timeline(ctx)) })
	g.GET("/debug/vars", e.handleVars)
	return h
}

// authorize refuses calls without the operators' token.
func (e *Entry) authorize(ctx context.Context, c *app.RequestContext) {
	want := "Bearer " + e.opts.Token
	if e.opts.Token != "" && subtle.ConstantTimeCompare(c.GetHeader("Authorization"), []byte(want)) != 1 {
		sendRefusal(c, refuse(CodeUnauthorized, "the operators' token is missing or wrong"))
		c.Abort()
		return
	}
	c.Next(ctx)
}

func sendReport(e *Entry, c *app.RequestContext, f func(time.Time, *cowslipcontrol.Control) any) {
	var v any
	if !e.do(func(now time.Time, k *cowslipcontrol.Control) { v = f(now, k) }) {
		sendRefusal(c, refuse(CodeUnavailable, "the instance stops"))
		return
	}
	c.JSON(200, v)
}

// handleConfig returns the configuration in force, from which an edit can start.
func (e *Entry) handleConfig(_ context.Context, c *app.RequestContext) {
	sendReport(e, c, func(_ time.Time, k *cowslipcontrol.Control) any { return k.Accepted() })
}

func (e *Entry) handleApply(ctx context.Context, c *app.RequestContext) {
	var q ApplyRequest
	if r := decode(c, &q); r != nil {
		sendRefusal(c, r)
		return
	}
	if e.opts.Edge != nil {
		sendRefusal(c, refuse(CodeBadRequest, "the platform's store holds the operators' text; write it there"))
		return
	}
	if q.EditID == "" {
		q.EditID = newID()
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), applyTimeout)
	defer cancel()
	a, r := e.apply(ctx, q)
	if r != nil {
		sendRefusal(c, r)
		return
	}
	c.JSON(200, a)
}

// apply validates an edit and stores it if the configuration is still at the revision
// from which the edit started.
func (e *Entry) apply(ctx context.Context, q ApplyRequest) (ApplyAnswer, *Refusal) {
	next, err := cowslipconfig.ParseEdit([]byte(q.Text))
	if err != nil {
		return ApplyAnswer{}, invalidRefusal(err)
	}
	stored, expect, r := e.readStored(ctx)
	if r != nil {
		return ApplyAnswer{}, r
	}
	if stored.EditID == q.EditID {
		return ApplyAnswer{Revision: stored.Revision, EditID: q.EditID}, nil
	}
	if next.BaseRevision() != stored.Revision {
		return ApplyAnswer{}, conflictRefusal(next.BaseRevision(), stored)
	}
	var before *cowslipconfig.Config
	if stored.Revision > 0 {
		if before, err = cowslipconfig.Parse([]byte(stored.Text)); err != nil {
			return ApplyAnswer{}, invalidRefusal(err)
		}
	}
	if err := cowslipconfig.CheckEdit(before, next, []byte(q.Text), e.clock.Now()); err != nil {
		return ApplyAnswer{}, invalidRefusal(err)
	}
	return e.storeAccepted(ctx, stored.Next(q.Text, next, q.EditID, q.By, e.clock.Now().UTC()), expect)
}

// readStored returns the newest accepted configuration and the revision to expect of
// the key in the next write to the store. If the store holds an older configuration
// than the one in force, the latter is returned.
func (e *Entry) readStored(ctx context.Context) (cowslipcontrol.Accepted, cowslipplatform.Revision, *Refusal) {
	var a cowslipcontrol.Accepted
	v, err := e.opts.Store.Get(ctx, cowslipcontrol.ConfigKey)
	if err != nil && !errors.Is(err, cowslipplatform.ErrNotFound) {
		return a, cowslipplatform.Revision{}, refuse(CodePlatformDown, "the platform does not answer; nothing was accepted")
	}
	if err == nil {
		if a, err = cowslipcontrol.DecodeAccepted(v.Data); err != nil {
			return a, cowslipplatform.Revision{}, refuse(CodeConflict, "the stored configuration cannot be read: "+err.Error())
		}
	}
	e.do(func(_ time.Time, k *cowslipcontrol.Control) {
		k.Offer(a, "the platform")
		a = k.Accepted()
	})
	return a, v.Revision, nil
}

// storeAccepted writes an accepted configuration to the store. If the response is
// lost, it reads the key back until the outcome is known or ctx ends. An outcome that
// is still unknown then is reported as CodeUnknown, not as a failure.
func (e *Entry) storeAccepted(ctx context.Context, a cowslipcontrol.Accepted, expect cowslipplatform.Revision) (ApplyAnswer, *Refusal) {
	b, err := a.Encode()
	if err != nil {
		return ApplyAnswer{}, refuse(CodeBadRequest, err.Error())
	}
	t, cancel := context.WithTimeout(ctx, applyTimeout/3)
	_, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: cowslipcontrol.ConfigKey, Data: b, Expect: expect})
	cancel()
	for err != nil && ctx.Err() == nil {
		var s cowslipcontrol.Accepted
		s, _, r := e.readStored(ctx)
		switch {
		case r != nil:
			e.sleep(ctx, readBackInterval)
			continue
		case s.EditID == a.EditID:
			err = nil
			continue
		case s.Revision >= a.Revision:
			return ApplyAnswer{}, conflictRefusal(a.Revision-1, s)
		case errors.Is(err, cowslipplatform.ErrConflict):
			return ApplyAnswer{}, refuse(CodeConflict, "the store was repaired meanwhile; send the edit again")
		}
		// The write has not taken effect yet, but still may.
		e.sleep(ctx, readBackInterval)
	}
	if err != nil {
		r := refuse(CodeUnknown, "the platform's answer was lost; send the same edit again to learn its end")
		r.Details = ApplyAnswer{EditID: a.EditID}
		return ApplyAnswer{}, r
	}
	e.do(func(_ time.Time, k *cowslipcontrol.Control) { k.Offer(a, "operator "+a.By) })
	return ApplyAnswer{Revision: a.Revision, EditID: a.EditID}, nil
}

func invalidRefusal(err error) *Refusal {
	r := refuse(CodeInvalidConfig, err.Error())
	var p cowslipconfig.Problems
	if errors.As(err, &p) {
		r.Message = fmt.Sprintf("the text has %d problems; nothing was applied", len(p))
		r.Details = p
	}
	return r
}

func conflictRefusal(base uint64, s cowslipcontrol.Accepted) *Refusal {
	r := refuse(CodeConflict, fmt.Sprintf("the edit started from revision %d, but revision %d by %q is in force; nothing was applied", base, s.Revision, s.By))
	r.Details = map[string]any{"revision": s.Revision, "by": s.By, "acceptedAt": s.AcceptedAt}
	return r
}
