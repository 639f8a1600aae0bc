package cowslipentry

import "time"

// RouteDecision is what an instance would do with a request.
type RouteDecision string

// The decisions.
const (
	RouteSend   RouteDecision = "send"   // send it to targets
	RouteWait   RouteDecision = "wait"   // wait for a target that can be asked, and refuse the request if there is none in time
	RouteRelay  RouteDecision = "relay"  // pass it on to another instance; if none accepts it, send it to targets
	RouteRefuse RouteDecision = "refuse" // refuse it
)

// RouteExplanation is the answer to POST /v1/route: where a request would go now and why. It
// contains no header of the request, and no key.
type RouteExplanation struct {
	Instance      string        `json:"instance"`
	FailureDomain string        `json:"failureDomain"`
	Ready         bool          `json:"ready"` // whether the load balancer sends callers to the instance
	Revision      uint64        `json:"revision"`
	Scope         string        `json:"scope"` // which targets may be asked: "all", "own" for those in the instance's failure domain, or "none"
	Method        string        `json:"method"`
	Host          string        `json:"host"`
	Path          string        `json:"path"`
	Decision      RouteDecision `json:"decision"`
	Reason        string        `json:"reason,omitempty"` // why it is refused, or waits

	// IfNotRelayed is why the instance would refuse a request to be passed on if no other one
	// accepts it; empty if it would not.
	IfNotRelayed string `json:"ifNotRelayed,omitempty"`

	// RetryAfterMillis is the shortest time that the caller of a refused request is told to
	// wait; 0 if it does not depend on the request.
	RetryAfterMillis int64 `json:"retryAfterMillis,omitempty"`

	// The fields below are missing if there is no route.
	Route     *RouteSummary         `json:"route,omitempty"`
	Workspace *WorkspaceExplanation `json:"workspace,omitempty"`
	Suspicion *SuspicionExplanation `json:"suspicion,omitempty"`
	Guard     *GuardExplanation     `json:"guard,omitempty"`     // for wide requests
	Admission string                `json:"admission,omitempty"` // how the request ranks under overload
	Relays    []RelayExplanation    `json:"relays,omitempty"`    // for wide requests that may be passed on
	Services  []ServiceExplanation  `json:"services,omitempty"`
}

// refuse sets the decision to refuse the request unless it was refused before, as only the first
// refusal counts.
func (x *RouteExplanation) refuse(reason string, delay time.Duration) {
	if reason != "" && x.Decision != RouteRefuse {
		x.Decision, x.Reason, x.RetryAfterMillis = RouteRefuse, reason, delay.Milliseconds()
	}
}
