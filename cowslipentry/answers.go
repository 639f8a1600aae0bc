package cowslipentry

import (
	"sync"
	"time"
)

const (
	// answerMemory is how long an answer speaks for a request under which targets crash.
	answerMemory = 30 * time.Second
	// maxAnswers bounds the answered requests that are remembered in half of answerMemory.
	maxAnswers = 4096
)

// answers remembers which requests were answered whole lately, by all services that they
// ask. The zero value is ready to use. It is safe for concurrent use.
type answers struct {
	mu            sync.Mutex
	since         time.Time            // when recent was begun
	recent, older map[uint64]time.Time // when each request was last answered
}

// add records the whole answer to a request.
func (a *answers) add(now time.Time, fingerprint uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	if len(a.recent) >= maxAnswers {
		a.turn(now)
	}
	if a.recent == nil {
		a.recent = map[uint64]time.Time{}
	}
	a.recent[fingerprint] = now
}

// has reports whether the request was answered whole lately.
func (a *answers) has(now time.Time, fingerprint uint64) bool {
	return !a.last(now, fingerprint).IsZero()
}

// hasSince reports whether the request was answered whole at the given time or later.
func (a *answers) hasSince(now, at time.Time, fingerprint uint64) bool {
	t := a.last(now, fingerprint)
	return !t.IsZero() && !t.Before(at)
}

// last returns when the request was last answered whole, the zero time if that was not lately.
func (a *answers) last(now time.Time, fingerprint uint64) time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget(now)
	if t, ok := a.recent[fingerprint]; ok {
		return t
	}
	return a.older[fingerprint]
}

// forget drops answers that are older than answerMemory, and some that are somewhat younger.
func (a *answers) forget(now time.Time) {
	switch age := now.Sub(a.since); {
	case age >= answerMemory:
		a.since, a.recent, a.older = now, nil, nil
	case age >= answerMemory/2:
		a.turn(now)
	}
}

func (a *answers) turn(now time.Time) { a.since, a.recent, a.older = now, nil, a.recent }
