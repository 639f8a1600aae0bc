package cowslipadmission

// flowKey names the requests of a class that share one admitted share.
type flowKey struct{ workspace, domain string }

// flow is the state of the requests of one priority, workspace and failure domain.
type flow struct {
	workspace string
	arrivals  meter   // cost that asked for admission
	weight    float64 // of the workspace
	share     float64 // of its requests that is admitted
	credit    float64 // grows by share with each request; a request is admitted for a credit of 1
}

// take reports whether the next request is within the flow's share. Admission is counted
// against requests and not against time, so that a flow of few requests per second gets its
// share, too.
func (f *flow) take() bool {
	f.credit += f.share
	if f.credit < 1 {
		return false
	}
	f.credit--
	return true
}
