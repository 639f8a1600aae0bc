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
	applyTimeout = 3 * time.Second
	settlePause  = 100 * time.Millisecond
)

// ApplyRequest is the body of POST /v1/config.
type ApplyRequest struct {
	Text   string `json:"text"`
	By     string `json:"by"`
	EditID string `json:"editId"` // makes a repeated call one edit; made up if empty
}

// ApplyAnswer is the answer to POST /v1/config for an edit that was accepted.
type ApplyAnswer struct {
	Revision uint64 `json:"revision"`
	EditID   string `json:"editId"`
}

func (e *Entry) operatorServer() *server.Hertz {
	h := newServer(e.o.Operators, e.o.OperatorsTLS)
	h.GET("/v1/ready", e.handleReady)
	g := h.Group("/", e.authorize)
	g.GET("/v1/config", e.handleConfig)
	g.POST("/v1/config", e.handleApply)
	g.GET("/v1/status", func(_ context.Context, c *app.RequestContext) {
		report(e, c, func(now time.Time, k *cowslipcontrol.Control) any { return k.Status(now) })
	})
	g.GET("/v1/moves", func(_ context.Context, c *app.RequestContext) {
		report(e, c, func(now time.Time, k *cowslipcontrol.Control) any { return k.Moves(now) })
	})
	g.GET("/v1/failureDomains", func(_ context.Context, c *app.RequestContext) {
		report(e, c, func(now time.Time, k *cowslipcontrol.Control) any { return k.FailureDomains(now) })
	})
	g.GET("/v1/timeline", func(ctx context.Context, c *app.RequestContext) { c.JSON(200, e.timeline(ctx)) })
	g.GET("/debug/vars", e.handleVars)
	return h
}

// authorize lets only calls with the operators' token pass.
func (e *Entry) authorize(ctx context.Context, c *app.RequestContext) {
	want := "Bearer " + e.o.Token
	if e.o.Token != "" && subtle.ConstantTimeCompare(c.GetHeader("Authorization"), []byte(want)) != 1 {
		sendRefusal(c, refuse(CodeUnauthorized, "the operators' token is missing or wrong"))
		c.Abort()
		return
	}
	c.Next(ctx)
}

func report(e *Entry, c *app.RequestContext, f func(time.Time, *cowslipcontrol.Control) any) {
	var v any
	if !e.do(func(now time.Time, k *cowslipcontrol.Control) { v = f(now, k) }) {
		sendRefusal(c, refuse(CodeUnavailable, "the instance stops"))
		return
	}
	c.JSON(200, v)
}

// handleConfig gives the configuration in force, as an edit can start from it.
func (e *Entry) handleConfig(_ context.Context, c *app.RequestContext) {
	report(e, c, func(_ time.Time, k *cowslipcontrol.Control) any { return k.Accepted() })
}

func (e *Entry) handleApply(ctx context.Context, c *app.RequestContext) {
	var q ApplyRequest
	if r := decode(c, &q); r != nil {
		sendRefusal(c, r)
		return
	}
	if e.o.Edge != nil {
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

// apply validates an edit and writes it if the configuration is still the one
// that it started from.
func (e *Entry) apply(ctx context.Context, q ApplyRequest) (ApplyAnswer, *Refusal) {
	next, err := cowslipconfig.Parse([]byte(q.Text))
	if err != nil {
		return ApplyAnswer{}, invalid(err)
	}
	stored, expect, r := e.readStored(ctx)
	if r != nil {
		return ApplyAnswer{}, r
	}
	if stored.EditID == q.EditID {
		return ApplyAnswer{Revision: stored.Revision, EditID: q.EditID}, nil
	}
	if next.BaseRevision() != stored.Revision {
		return ApplyAnswer{}, conflict(next.BaseRevision(), stored)
	}
	var before *cowslipconfig.Config
	if stored.Revision > 0 {
		if before, err = cowslipconfig.Parse([]byte(stored.Text)); err != nil {
			return ApplyAnswer{}, invalid(err)
		}
	}
	if err := cowslipconfig.CheckEdit(before, next, []byte(q.Text), e.clock.Now()); err != nil {
		return ApplyAnswer{}, invalid(err)
	}
	return e.store(ctx, stored.Next(q.Text, next, q.EditID, q.By, e.clock.Now().UTC()), expect)
}

// readStored gives the newest configuration accepted, and the store's revision
// to expect. A store that fell behind does not count.
func (e *Entry) readStored(ctx context.Context) (cowslipcontrol.Accepted, uint64, *Refusal) {
	var a cowslipcontrol.Accepted
	v, err := e.o.Store.Get(ctx, cowslipcontrol.ConfigKey)
	if err != nil && !errors.Is(err, cowslipplatform.ErrNotFound) {
		return a, 0, refuse(CodePlatformDown, "the platform does not answer; nothing was accepted")
	}
	if err == nil {
		if a, err = cowslipcontrol.DecodeAccepted(v.Data); err != nil {
			return a, 0, refuse(CodeConflict, "the stored configuration cannot be read: "+err.Error())
		}
	}
	e.do(func(_ time.Time, k *cowslipcontrol.Control) {
		k.Offer(a, "the platform")
		a = k.Accepted()
	})
	return a, v.Revision, nil
}

// store writes an accepted configuration. An answer that is lost is settled by
// reading back; until then the edit's end is unknown.
func (e *Entry) store(ctx context.Context, a cowslipcontrol.Accepted, expect uint64) (ApplyAnswer, *Refusal) {
	b, err := a.Encode()
	if err != nil {
		return ApplyAnswer{}, refuse(CodeBadRequest, err.Error())
	}
	t, cancel := context.WithTimeout(ctx, applyTimeout/3)
	_, err = e.o.Store.Put(t, cowslipplatform.Write{Key: cowslipcontrol.ConfigKey, Data: b, Expect: expect})
	cancel()
	for err != nil && ctx.Err() == nil {
		var s cowslipcontrol.Accepted
		s, _, r := e.readStored(ctx)
		switch {
		case r != nil:
			e.sleep(ctx, settlePause)
			continue
		case s.EditID == a.EditID:
			err = nil
			continue
		case s.Revision >= a.Revision:
			return ApplyAnswer{}, conflict(a.Revision-1, s)
		case errors.Is(err, cowslipplatform.ErrConflict):
			return ApplyAnswer{}, refuse(CodeConflict, "the store was repaired meanwhile; send the edit again")
		}
		// The write has not taken effect, and may yet do so.
		e.sleep(ctx, settlePause)
	}
	if err != nil {
		r := refuse(CodeUnknown, "the platform's answer was lost; send the same edit again to learn its end")
		r.Details = ApplyAnswer{EditID: a.EditID}
		return ApplyAnswer{}, r
	}
	e.do(func(_ time.Time, k *cowslipcontrol.Control) { k.Offer(a, "operator "+a.By) })
	return ApplyAnswer{Revision: a.Revision, EditID: a.EditID}, nil
}

func invalid(err error) *Refusal {
	r := refuse(CodeInvalidConfig, err.Error())
	var p cowslipconfig.Problems
	if errors.As(err, &p) {
		r.Message = fmt.Sprintf("the text has %d problems; nothing was applied", len(p))
		r.Details = p
	}
	return r
}

func conflict(base uint64, s cowslipcontrol.Accepted) *Refusal {
	r := refuse(CodeConflict, fmt.Sprintf("the edit started from revision %d, but revision %d by %q is in force; nothing was applied", base, s.Revision, s.By))
	r.Details = map[string]any{"revision": s.Revision, "by": s.By, "acceptedAt": s.AcceptedAt}
	return r
}
