package cowslipentry

import (
	"context"
	"math/rand/v2"
	"strconv"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowsliprecord"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"
)

// Constants of sending a non-idempotent request.
const (
	maxRecordAttempts           = 4
	recordCapacityRetryInterval = 2 * time.Millisecond // between attempts to find a target with capacity
	recordMarginDivisor         = 20                   // the answer is due before the deadline, by 1/20 of it
)

// record runs a non-idempotent request at most once. Requests with the same key count
// as one request.
func (e *Entry) record(ctx context.Context, c callerRequest, service, key string) (cowsliprecord.Response, *Refusal) {
	s := c.view.Service(service)
	if s == nil {
		return cowsliprecord.Response{}, refuse(CodeUnknownService, "no service "+service+" in the configuration")
	}
	if s.Config().Kind() != cowslipconfig.Narrow {
		return cowsliprecord.Response{}, refuse(CodeBadRequest, "service "+service+" is not narrow; records go to narrow services")
	}
	fp := fingerprint(service, c.route, c.payload)
	if c.view.CrashVerdict(fp) == cowsliproute.Quarantined {
		return cowsliprecord.Response{}, refuse(CodeQuarantined, "the request has crashed targets and is held")
	}
	if len(s.Snapshots()) == 0 {
		return cowsliprecord.Response{}, refuse(CodeUnavailable, "service "+service+" has no target that may be asked")
	}
	s.Limiter().Admit(c.start, 9)
	ctx, cancel := context.WithDeadline(ctx, c.start.Add(c.deadline-c.deadline/recordMarginDivisor))
	defer cancel()
	send := func(ctx context.Context) (string, cowsliptarget.Outcome) { return e.sendRecord(ctx, c, s, fp) }
	if key == "" {
		return cowsliprecord.ResponseForOutcome(send(ctx)), nil
	}
	if !e.claimLimiter.AllowN(c.start, 1) {
		e.metrics.refusedForLoad.Add(1)
		return cowsliprecord.Response{}, refuse(CodeOverloaded, "the rate of keyed requests is at its limit")
	}
	return e.recorder.Run(ctx, cowsliprecord.Request{ID: c.id, Service: service, Key: key, Fingerprint: fp}, send), nil
}

// sendRecord sends the request to one target after another as long as it is certain
// that the request did not run.
func (e *Entry) sendRecord(ctx context.Context, c callerRequest, s *cowsliproute.Service, fp uint64) (string, cowsliptarget.Outcome) {
	r := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	versions, release := s.ChooseVersions(c.route, r.Float64())
	defer release()
	var tried []*cowsliproute.Target
	last := cowsliptarget.NotSent
	for n := 0; n < maxRecordAttempts && ctx.Err() == nil; {
		t := e.pickRecordTarget(c, s, versions, tried, r)
		if t == nil {
			if !e.sleep(ctx, recordCapacityRetryInterval) {
				break
			}
			continue
		}
		n++
		tried = append(tried, t)
		v, o := e.sendRecordTo(ctx, c, s, t, n, fp)
		if !o.NotRun() {
			return v, o
		}
		last = o
	}
	return "", last
}

func (e *Entry) pickRecordTarget(c callerRequest, s *cowsliproute.Service, versions cowsliproute.VersionPreference, tried []*cowsliproute.Target, r *rand.Rand) *cowsliproute.Target {
	scope := c.view.Scope(e.clock.Now())
	if scope == cowsliproute.ScopeNone {
		return nil
	}
	p := s.Snapshots()[0].Shards[0]
	for _, v := range versions.Sets() {
		o := cowsliproute.PickOptions{Version: v, OwnDomainOnly: scope == cowsliproute.ScopeOwnDomain, Exclude: tried}
		if t := c.view.Pick(p.Replicas, o, r); t != nil {
			return t
		}
	}
	return nil
}

func (e *Entry) sendRecordTo(ctx context.Context, c callerRequest, s *cowsliproute.Service, t *cowsliproute.Target, n int, fp uint64) (string, cowsliptarget.Outcome) {
	left := int64(1)
	if d, ok := ctx.Deadline(); ok {
		left = max(time.Until(d).Milliseconds(), 1)
	}
	start := e.clock.Now()
	incarnation := t.Incarnation()
	v, report, o := e.client.Record(ctx, t.Info().Addr, cowsliptarget.Record{ID: c.id + "." + strconv.Itoa(n), Service: s.Name(), Route: c.route, Body: c.payload, Incarnation: incarnation, DeadlineMillis: left})
	x := cowslipcontrol.Sample{Target: t, Route: c.route, Outcome: o, Report: report, Latency: e.clock.Since(start), At: e.clock.Now()}
	e.metrics.subRequestsNeeded.Add(1)
	e.metrics.subRequestsSent.Add(1)
	k := e.finishAttempt(ctx, &x, incarnation, fp, c.id)
	switch {
	case k != nil:
		e.do(func(now time.Time, c *cowslipcontrol.Control) { c.Crashed(now, *k) })
	case o == cowsliptarget.OK && c.view.CrashVerdict(fp) == cowsliproute.Suspect:
		e.do(func(now time.Time, c *cowslipcontrol.Control) { c.ClearSuspect(now, fp, s.Name()) })
	}
	return v.Result, o
}
