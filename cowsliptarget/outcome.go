package cowsliptarget

// Outcome tells how a request to a target ended.
type Outcome int

// The outcomes. Of these only NotSent, Shed, Leaving, WrongVersion, Expired
// and Restarted say that the request did not run.
const (
	OK           Outcome = iota // a whole answer to this very request
	NotSent                     // no byte of the request left
	Shed                        // refused for load
	Leaving                     // refused since the target shuts down
	WrongVersion                // refused since the target does not hold the index version
	Expired                     // refused since the deadline was over in its queue
	Failed                      // the target answered that it failed
	Lost                        // the connection ended without an answer
	Corrupt                     // the answer is not whole or belongs to another request
	Cancelled                   // the context ended first
	Restarted                   // refused since the target has started anew
)

var outcomeNames = [...]string{"ok", "notSent", "shed", "leaving", "wrongVersion", "expired", "failed", "lost", "corrupt", "cancelled", "restarted"}

// String names the outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// NotRun tells whether the request certainly did not run.
func (o Outcome) NotRun() bool {
	switch o {
	case NotSent, Shed, Leaving, WrongVersion, Expired, Restarted:
		return true
	}
	return false
}
