package cowslipentry

import "time"

// SuspicionExplanation is what is known of crashes under a request.
type SuspicionExplanation struct {
	Verdict   string     `json:"verdict"`             // "harmless", "suspect" or "quarantined", which is held
	Trial     bool       `json:"trial"`               // it was held and is tried again, if the store permits it
	Whole     bool       `json:"whole"`               // no target answered it
	Services  []string   `json:"services,omitempty"`  // whose targets crashed while those of other services answered
	Since     *time.Time `json:"since,omitempty"`     // when the first crash became known
	HeldUntil *time.Time `json:"heldUntil,omitempty"` // when a held request is tried again
}
