package cowslipentry

import "time"

// countUsage counts the request for its workspace if a target began to run it. A request
// that a relay served has no attempts here; the relay counts it.
func (f *forward) countUsage() {
	w := f.workspaceName()
	if f.usage == nil || w == "" {
		return
	}
	if t := f.beganAt(); !t.IsZero() {
		f.usage.counter.Began(f.usage.now().Add(-f.clock.Since(t)), w)
	}
}

// beganAt returns when the first attempt was sent that ran or may have run, the zero time
// if there is none. An attempt that has not ended may have run.
func (f *forward) beganAt() time.Time {
	var t time.Time
	for _, x := range f.attempts {
		if !x.outcome.NotRun() && (t.IsZero() || x.sentAt.Before(t)) {
			t = x.sentAt
		}
	}
	return t
}
