package cowsliptarget

// Outcome is how a request to a target ended.
type Outcome int

// The outcomes. Only NotSent, Shed, Leaving, WrongVersion, Expired and Restarted
// mean that the request did not run.
const (
	OK           Outcome = iota // a complete response to this request arrived
	NotSent                     // no byte of the request was sent
	Shed                        // refused because of overload
	Leaving                     // refused because the target is shutting down
	WrongVersion                // refused because the target does not hold the index version
	Expired                     // refused because the deadline passed in the target's queue
	Failed                      // the target reported a failure
	Lost                        // the connection ended without a response; a Client also returns it for a truncated one
	Corrupt                     // the response is malformed or for another request; a Forwarder also returns it for a truncated one
	Cancelled                   // the context ended after part of the request was sent
	Restarted                   // refused because the target has restarted
)

var outcomeNames = [...]string{"ok", "notSent", "shed", "leaving", "wrongVersion", "expired", "failed", "lost", "corrupt", "cancelled", "restarted"}

// String returns the name of the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun reports whether the request certainly did not run.
func (o Outcome) NotRun() bool {
	switch o {
	case NotSent, Shed, Leaving, WrongVersion, Expired, Restarted:
		return true
	}
	return false
}
