package cowslipentry

// RelayExplanation is an instance to which a wide request may be passed on.
type RelayExplanation struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	InFlight      int    `json:"inFlight"`           // requests that this instance has passed on to it
	Candidate     bool   `json:"candidate"`          // whether the request may be passed on to it
	RuledOut      string `json:"ruledOut,omitempty"` // "avoided", "stalled", or "otherDomain" if one in the instance's failure domain may be asked
}
