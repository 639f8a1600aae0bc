package cowslipentry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"
	"cowslipflow/cowsliproute"
)

// Constants of relays.
const (
	// maxRelayAttempts is the number of relays that a request is offered to before this
	// instance serves it itself.
	maxRelayAttempts = 2
	// relayAcceptTimeout limits the wait for a relay to accept a request. It allows for
	// a few round trips between failure domains and for the time until the relay's
	// process is scheduled on a CPU.
	relayAcceptTimeout = 40 * time.Millisecond
	// relayBackoff is how long no requests are sent to a relay after it did not accept
	// or did not answer one.
	relayBackoff = time.Second
	// relayStallFactor is how long a relay may hold requests without ending any before
	// it receives no more, in multiples of the route's latency target.
	relayStallFactor = 2
	// maxRelayedRequests limits the requests that an instance serves for others at the
	// same time. Each takes some milliseconds of CPU, so with more of them answers
	// would be late.
	maxRelayedRequests = 16
	// maxRelayedBody limits the body of a request that is passed on. A long one would
	// take longer on the way than the relay saves.
	maxRelayedBody = 64 << 10
)

// relay passes a wide request, that is, one to a gather route, on to a relay, which is
// an instance with more CPU, if there is one. It reports whether the returned Reply is
// final; if not, this instance serves the request itself.
func (f *forward) relay(ctx context.Context) (Reply, bool) {
	if !f.mayRelay() {
		return Reply{}, false
	}
	g := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for range maxRelayAttempts {
		r := f.view.PickRelay(f.clock.Now(), f.relayStallTimeout(), g)
		if r == nil {
			break
		}
		if x, ok := f.relayVia(ctx, r); ok {
			f.relayedBy = r.ID()
			return x, true
		}
	}
	return Reply{}, false
}

// mayRelay reports whether the request may be passed on.
func (f *forward) mayRelay() bool {
	return !f.request.relayed && f.gathers() && len(f.request.Body) <= maxRelayedBody
}

// relayStallTimeout returns how long a relay may hold requests without ending any.
func (f *forward) relayStallTimeout() time.Duration {
	return relayStallFactor * f.route.Config().LatencyTarget()
}

// relayVia offers the request to one relay. It reports whether the returned Reply is
// final, as it is once the relay has accepted the request or the caller has
// disconnected.
func (f *forward) relayVia(ctx context.Context, r *cowsliproute.Relay) (Reply, bool) {
	// The relay closes its answer at closeAt, too. Half of the time from then until
	// the timeout is left for the answer to travel to this instance.
	t, cancel := context.WithDeadline(ctx, f.closeAt.Add(f.closeMargin()/2))
	defer cancel()
	defer context.AfterFunc(f.answering, cancel)()
	r.RequestStarted(f.clock.Now())
	x, err := f.relayer.Relay(t, r.Addr(), f.encodeRelayRequest(), relayAcceptTimeout)
	r.RequestEnded(f.clock.Now())
	switch {
	case ctx.Err() != nil:
		return Reply{Kind: ReplyGone, Reason: "the caller has left"}, true
	case err == nil && x.Accepted:
		f.metrics.relayed.Add(1)
		return f.relayedReply(x), true
	}
	f.metrics.relaysFailed.Add(1)
	r.Avoid(f.clock.Now().Add(relayBackoff))
	if err == nil {
		f.log.Info("relayRefused", "id", f.request.ID, "relay", r.ID(), "reason", x.Reply.GetReason())
		return Reply{}, false
	}
	f.relayer.CloseIdle(r.Addr())
	f.log.Info("relayFailed", "id", f.request.ID, "relay", r.ID(), "taken", x.Accepted, "error", err)
	if x.Accepted {
		return f.failureReply("the instance that served the request did not answer"), true
	}
	return Reply{}, false
}

func (f *forward) encodeRelayRequest() *cowslipmessage.RelayRequest {
	r := f.request
	m := &cowslipmessage.RelayRequest{
		Id: r.ID, Method: r.Method, Host: r.Host, Path: r.Path, Uri: r.URI, Body: r.Body, DeadlineMicros: r.Deadline.Microseconds(),
		WaitedMicros: f.clock.Since(f.start).Microseconds(), MarginMicros: f.replyMargin().Microseconds(), Digest: f.view.ConfigDigest(), Caller: r.Caller,
		Workspace: f.workspaceName(),
	}
	for k, v := range r.Header {
		m.Headers = append(m.Headers, &cowslipmessage.Header{Name: k, Values: v})
	}
	return m
}

// relayedReply converts the answer of a relay. If parts are missing, it also records
// how late the answer is, as for an answer of this instance.
func (f *forward) relayedReply(x cowslippeer.RelayResult) Reply {
	a := x.Reply
	switch ReplyKind(a.GetKind()) {
	case ReplyGathered, ReplyNotRun, ReplyFailed, ReplyTimeout, ReplyNoRoute, ReplyUnauthorized:
	default:
		f.log.Warn("relayed answer has no known kind", "id", f.request.ID, "kind", a.GetKind())
		return f.failureReply("the instance that served the request gave no valid answer")
	}
	f.observeLag(int(a.GetMissing()))
	return Reply{
		Kind: ReplyKind(a.GetKind()), Reason: a.GetReason(), RetryAfter: time.Duration(a.GetRetryAfterMicros()) * time.Microsecond,
		Signatures: a.GetSignatures(), Missing: int(a.GetMissing()), Body: a.GetBody(),
	}
}

// onRelay serves a wide request for another instance. It accepts the request only if
// both instances use the same configuration, so that the caller is never served by an
// older one. It starts the request only when the sender tells it to begin, since the
// sender may have given up and used another relay in the meantime.
func (e *Entry) onRelay(s cowslipmessage.DRPCPeer_RelayStream) error {
	r, err := s.Recv()
	if err != nil {
		return err
	}
	n := e.activeRelays.Add(1)
	defer e.activeRelays.Add(-1)
	if reason := e.relayRefusal(r, n); reason != "" {
		return s.Send(&cowslipmessage.RelayReply{Reason: reason})
	}
	offered := e.clock.Now()
	if err := s.Send(&cowslipmessage.RelayReply{Taken: true}); err != nil {
		return err
	}
	if b, err := s.Recv(); err != nil || !b.GetBegin() {
		return err
	}
	q := decodeRelayRequest(r)
	q.elapsed += e.clock.Since(offered)
	x := e.Forward(s.Context(), q)
	return s.Send(&cowslipmessage.RelayReply{
		Taken: true, Kind: string(x.Kind), Reason: x.Reason, RetryAfterMicros: x.RetryAfter.Microseconds(),
		Signatures: x.Signatures, Missing: int64(x.Missing), Body: x.Body,
	})
}

// relayRefusal returns the reason why this instance does not serve a request for
// another instance, or an empty string if it does. Active is the number of such requests,
// with this one.
func (e *Entry) relayRefusal(r *cowslipmessage.RelayRequest, active int64) string {
	v := e.view.Load()
	switch {
	case !e.Ready() || v == nil:
		return "not ready"
	case v.ConfigDigest() != r.GetDigest():
		return "another configuration is in force here"
	case active > maxRelayedRequests:
		return "too many requests are served for others"
	}
	return ""
}

func decodeRelayRequest(r *cowslipmessage.RelayRequest) Request {
	q := Request{
		ID: r.GetId(), Method: r.GetMethod(), Host: r.GetHost(), Path: r.GetPath(), URI: r.GetUri(), Header: http.Header{}, Body: r.GetBody(), Caller: r.GetCaller(), workspace: r.GetWorkspace(),
		Deadline: time.Duration(r.GetDeadlineMicros()) * time.Microsecond,
		relayed:  true, elapsed: time.Duration(r.GetWaitedMicros()) * time.Microsecond, replyMargin: time.Duration(r.GetMarginMicros()) * time.Microsecond,
	}
	for _, h := range r.GetHeaders() {
		q.Header[h.GetName()] = h.GetValues()
	}
	return q
}
