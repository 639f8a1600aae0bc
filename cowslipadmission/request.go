package cowslipadmission

import "time"

// Request is a request that asks for admission.
type Request struct {
	Priority  int           // 0 is the most urgent
	Workspace string        // empty if the request has none
	Weight    float64       // of the workspace; 1 if 0
	Domain    string        // failure domain that the request came from
	Cost      float64       // relative to the cheapest request of the pool; 1 if 0
	Left      time.Duration // until an answer is worth nothing
	Expected  time.Duration // usual time until an answer; 0 if unknown
}

// Reason says why a request was refused.
type Reason string

// The reasons of a Decision.
const (
	ReasonShare    Reason = "share"    // the share of its priority and workspace is used up
	ReasonDeadline Reason = "deadline" // too little time is left for an answer
)

// Decision is the answer to a Request. RetryAfter and Reason are set if it was refused.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration
	Reason     Reason
}

// Result says how an admitted request ended.
type Result struct {
	Priority int     // as in the Request
	Cost     float64 // as in the Request
	InTime   bool    // answered within the latency target
	Parts    int     // requests sent to targets
	Shed     int     // those of Parts that targets refused for load or dropped from their queue
	Waited   int     // parts that found no target with a free slot in time
}
