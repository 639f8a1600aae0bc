package cowsliproute

import (
	"sync/atomic"
	"time"
)

// Scope is the set of targets to which requests may be sent.
type Scope int

// The scopes.
const (
	ScopeAll       Scope = iota // the configuration is confirmed
	ScopeOwnDomain              // not confirmed in time: only targets in this instance's failure domain
	ScopeNone                   // the process was paused and has not confirmed the configuration since: no targets
)

// String returns the name of the scope.
func (s Scope) String() string { return [...]string{"all", "own", "none"}[s] }

// freshnessTimes holds the arguments of Freshness.Set.
type freshnessTimes struct {
	confirmedUntil, runningUntil, blockedUntil time.Time
}

// Freshness tracks how long the control state may be relied on. The scope of its zero
// value is ScopeNone. It is safe for concurrent use.
type Freshness struct {
	times atomic.Pointer[freshnessTimes]
}

// Set records that the configuration counts as confirmed before confirmedUntil and the
// control state as running before runningUntil. Before blockedUntil, nothing may be
// sent unless the configuration is confirmed.
func (f *Freshness) Set(confirmedUntil, runningUntil, blockedUntil time.Time) {
	f.times.Store(&freshnessTimes{confirmedUntil: confirmedUntil, runningUntil: runningUntil, blockedUntil: blockedUntil})
}

// Scope returns which targets may be asked at now.
func (f *Freshness) Scope(now time.Time) Scope {
	t := f.times.Load()
	switch {
	case t == nil || !now.Before(t.runningUntil):
		return ScopeNone
	case now.Before(t.confirmedUntil):
		return ScopeAll
	case now.Before(t.blockedUntil):
		return ScopeNone
	}
	return ScopeOwnDomain
}
