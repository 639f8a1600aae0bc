package cowslipentry

// GuardExplanation is how a wide request is sent while such requests crash targets.
type GuardExplanation struct {
	Alert  bool     `json:"alert"`            // targets have crashed under wide requests lately
	Probes []string `json:"probes,omitempty"` // services of which one is asked first, in order of preference; none if all are asked at once
}
