package cowslipentry

import "cowslipflow/cowsliproute"

// TargetExplanation is a target of a service, as a choice sees it.
type TargetExplanation struct {
	ID            string  `json:"id"`
	FailureDomain string  `json:"failureDomain"`
	Version       string  `json:"version"`
	InFlight      int     `json:"inFlight"` // requests of this instance
	Limit         int     `json:"limit"`    // of those
	Load          int     `json:"load"`     // requests that the target reported last as running or queued
	Slots         int     `json:"slots"`
	Latency       float64 `json:"latency"`       // as this instance measured it, in medians of the routes; 0 if it is unknown
	Speed         float64 `json:"speed"`         // learned by all instances, relative to the targets of the service; 0 if it is unknown
	LearnedLimit  int     `json:"learnedLimit"`  // requests in flight up to which it does not slow down; 0 if it is unknown
	NewConnection bool    `json:"newConnection"` // whether each request needs a new connection
	Stalled       bool    `json:"stalled"`       // no request has ended for several latencies
	WaitMillis    int64   `json:"waitMillis"`    // until its pace and its pause allow a request

	// RuledOut is why the target cannot be asked now, empty if it can.
	RuledOut cowsliproute.Obstacle `json:"ruledOut,omitempty"`
}
