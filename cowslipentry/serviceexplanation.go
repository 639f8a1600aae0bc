package cowslipentry

import "cowslipflow/cowsliproute"

// ServiceExplanation is a service that a request goes to.
type ServiceExplanation struct {
	Name       string                        `json:"name"`
	Share      float64                       `json:"share"`             // of the route's requests that go to the service
	Versions   string                        `json:"versions"`          // which versions may be asked, in words
	Refused    string                        `json:"refused,omitempty"` // why a request that goes to this service alone is refused
	Targets    int                           `json:"targets"`
	Eligible   int                           `json:"eligible"` // targets that can be asked now
	RuledOut   map[cowsliproute.Obstacle]int `json:"ruledOut,omitempty"`
	Candidates []TargetExplanation           `json:"candidates,omitempty"` // all targets; for wide requests, only those of the service that was asked for
}
