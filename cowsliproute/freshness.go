package cowsliproute

import (
	"sync/atomic"
	"time"
)

// Scope is the set of targets that may be asked.
type Scope int

// The scopes.
const (
	ScopeAll       Scope = iota // the configuration is confirmed
	ScopeOwnDomain              // not confirmed in time: only the own failure domain's targets
	ScopeNone                   // the process stood still and has not confirmed since
)

// Verdict is what is known of a request that may crash targets.
type Verdict int

// The verdicts.
const (
	Harmless    Verdict = iota
	Suspect             // one crash: to be tried on a single target first
	Quarantined         // a second crash: refused
)

type freshnessTimes struct {
	confirmedUntil, runningUntil, blockedUntil time.Time
}

// Freshness tells how long what the control state knows may be relied on. Its
// zero value gives ScopeNone. It is safe for concurrent use.
type Freshness struct {
	times atomic.Pointer[freshnessTimes]
}

// Set states that the configuration is confirmed until valid, that the control
// state runs until live, and that nothing may be sent before hold unless the
// configuration is confirmed.
func (f *Freshness) Set(valid, live, hold time.Time) {
	f.times.Store(&freshnessTimes{confirmedUntil: valid, runningUntil: live, blockedUntil: hold})
}

// Scope tells which targets may be asked at now.
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
