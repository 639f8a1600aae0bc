package cowslipentry

import (
	"context"
	"time"

	"cowslipflow/cowsliprecord"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// Defaults of requests that name no route or class.
const (
	defaultQueryRoute  = "search"
	defaultRecordRoute = "record"
	defaultPriority    = 5
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Service        string `json:"service"`
	Route          string `json:"route"` // "search" if empty
	Query          string `json:"query"`
	Class          string `json:"class"`          // the caller's class, which sets deadline and priority
	DeadlineMillis int64  `json:"deadlineMillis"` // overrides the deadlines of the class and the service; 0 means unset
}

// QueryAnswer is the answer to POST /v1/query.
type QueryAnswer struct {
	ID       string          `json:"id"`
	Revision uint64          `json:"revision"`
	Complete bool            `json:"complete"` // whether every service's answer covers its whole key space
	Answers  []ServiceAnswer `json:"answers"`
}

// RecordRequest is the body of POST /v1/record.
type RecordRequest struct {
	Service        string `json:"service"`
	Route          string `json:"route"` // "record" if empty
	Key            string `json:"key"`   // idempotency key chosen by the caller; requests with the same key count as one
	Body           string `json:"body"`
	Class          string `json:"class"`
	DeadlineMillis int64  `json:"deadlineMillis"`
}

// RecordAnswer is the answer to POST /v1/record for a request that ran.
type RecordAnswer struct {
	ID       string `json:"id"`
	Result   string `json:"result"`
	Repeated bool   `json:"repeated"` // whether the result is that of an earlier request with this key
}

func (e *Entry) callerServer() *server.Hertz {
	h := e.newServer(PortCallers, e.opts.Callers, e.opts.CallersTLS)
	h.GET("/v1/ready", e.handleReady)
	h.POST("/v1/query", e.handleQuery)
	h.POST("/v1/record", e.handleRecord)
	return h
}

// handleReady answers the load balancer's readiness check.
func (e *Entry) handleReady(_ context.Context, c *app.RequestContext) {
	if e.draining.Load() || !e.ready.Load() {
		c.JSON(503, map[string]bool{"ready": false})
		return
	}
	c.JSON(200, map[string]bool{"ready": true})
}

func (e *Entry) handleQuery(ctx context.Context, c *app.RequestContext) {
	e.requests.Begin()
	defer e.requests.End()
	var q QueryRequest
	if r := decode(c, &q); r != nil {
		sendRefusal(c, r)
		return
	}
	x, r := e.newCallerRequest(q.Service, q.Class, q.DeadlineMillis)
	if r != nil {
		sendRefusal(c, r)
		return
	}
	x.route, x.payload = orElse(q.Route, defaultQueryRoute), q.Query
	l, r := e.search(ctx, x, q.Service)
	if r != nil {
		sendRefusal(c, r)
		return
	}
	a := QueryAnswer{ID: x.id, Revision: x.view.Revision(), Complete: true, Answers: l}
	for _, s := range l {
		a.Complete = a.Complete && len(s.Coverage.Missing) == 0
	}
	e.metrics.observe(e.clock.Since(x.start), a.Complete)
	c.JSON(200, a)
}

func (e *Entry) handleRecord(ctx context.Context, c *app.RequestContext) {
	e.requests.Begin()
	defer e.requests.End()
	var q RecordRequest
	if r := decode(c, &q); r != nil {
		sendRefusal(c, r)
		return
	}
	x, r := e.newCallerRequest(q.Service, q.Class, q.DeadlineMillis)
	if r != nil {
		sendRefusal(c, r)
		return
	}
	x.route, x.payload = orElse(q.Route, defaultRecordRoute), q.Body
	// If the caller disconnects, the request is not cancelled, since it may have run.
	a, r := e.record(context.WithoutCancel(ctx), x, q.Service, q.Key)
	if r == nil {
		r = verdictRefusal(a.Verdict)
	}
	if r != nil {
		sendRefusal(c, r)
		return
	}
	e.metrics.records.Add(1)
	c.JSON(200, RecordAnswer{ID: x.id, Result: a.Result, Repeated: a.Repeated})
}

func verdictRefusal(v cowsliprecord.Verdict) *Refusal {
	switch v {
	case cowsliprecord.NotRun:
		return refuse(CodeNotRun, "the request did not run; it may be sent again")
	case cowsliprecord.Unknown:
		return refuse(CodeUnknown, "the request may have run")
	case cowsliprecord.KeyReused:
		return refuse(CodeKeyReused, "the key belongs to a different request; this one did not run")
	}
	return nil
}

// newCallerRequest returns a request with the current view. Its deadline is that of
// the caller, otherwise of the class, otherwise of the service. Its priority is that
// of the class, otherwise defaultPriority.
func (e *Entry) newCallerRequest(service, class string, deadlineMillis int64) (callerRequest, *Refusal) {
	v := e.view.Load()
	if v == nil || v.Revision() == 0 {
		return callerRequest{}, refuse(CodeUnavailable, "no configuration is in force yet")
	}
	s := v.Service(service)
	if s == nil {
		return callerRequest{}, refuse(CodeUnknownService, "no service "+service+" in the configuration")
	}
	x := callerRequest{id: newID(), view: v, start: e.clock.Now(), deadline: s.Config().Deadline(), priority: defaultPriority}
	if class != "" {
		k, ok := v.Class(class)
		if !ok {
			return callerRequest{}, refuse(CodeUnknownClass, "no class "+class+" in the configuration")
		}
		x.priority = k.Priority()
		if k.Deadline() > 0 {
			x.deadline = k.Deadline()
		}
	}
	if deadlineMillis < 0 {
		return callerRequest{}, refuse(CodeBadRequest, "deadlineMillis: must not be negative")
	}
	if deadlineMillis > 0 {
		x.deadline = time.Duration(deadlineMillis) * time.Millisecond
	}
	return x, nil
}

func orElse(s, otherwise string) string {
	if s == "" {
		return otherwise
	}
	return s
}
