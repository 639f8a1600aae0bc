package cowsliproute

import (
	"sync/atomic"
	"time"

	"cowslipflow/cowslipconfig"
)

// Shard is one shard of a snapshot: the keys from Lo, inclusive, to Hi, exclusive, and
// the replicas that hold them.
type Shard struct {
	Lo, Hi   uint32
	Replicas []*Target
}

// Snapshot is one index version with its shard map.
type Snapshot struct {
	IndexVersion uint64
	Shards       []Shard // sorted by Lo, not overlapping
}

// MoveView is the routing state of a move, which shifts a service's traffic from one
// version to another.
type MoveView struct {
	ID             string
	From, To       string             // an empty From means all versions except To
	RouteShares    map[string]float64 // fraction of each route's requests sent to To; a route that is not listed sends only canary requests to To
	LoadTarget     string             // ID of the only target that gets these requests, any of To if empty
	Canary         bool               // this process may send canary requests, one at a time
	Stopped        bool               // no request may go to To
	Done           bool               // all requests go to To
	Ending         bool               // another instance may have recorded the move as done
	OldGone        bool               // no target of From is left: requests of listed routes go to To, and the others if MayTry is set
	MayTry         bool
	CanaryInFlight *atomic.Bool
}

// Service is the routing state of a service. It is immutable, except for its Budget,
// its Limiter and the CanaryInFlight flag of its move.
type Service struct {
	name       string
	config     cowslipconfig.Service
	snapshots  []Snapshot
	hedgeAfter time.Duration
	budget     *Budget
	limiter    *Limiter
	move       *MoveView
}

// ServiceOptions are the contents of a Service.
type ServiceOptions struct {
	Config     cowslipconfig.Service
	Snapshots  []Snapshot    // in the order in which queries try to pin them
	HedgeAfter time.Duration // 0 disables hedging
	Budget     *Budget
	Limiter    *Limiter
	Move       *MoveView
}

// NewService returns a service.
func NewService(o ServiceOptions) *Service {
	return &Service{name: o.Config.Name(), config: o.Config, snapshots: o.Snapshots, hedgeAfter: o.HedgeAfter, budget: o.Budget, limiter: o.Limiter, move: o.Move}
}

// Name returns the service's name.
func (s *Service) Name() string { return s.name }

// Config returns the service's part of the operators' configuration.
func (s *Service) Config() cowslipconfig.Service { return s.config }

// Snapshots returns the index versions that can be pinned, best first.
func (s *Service) Snapshots() []Snapshot { return s.snapshots }

// HedgeAfter returns how long to wait for an answer before asking a second replica.
func (s *Service) HedgeAfter() time.Duration { return s.hedgeAfter }

// Budget returns the budget for retries and hedges.
func (s *Service) Budget() *Budget { return s.budget }

// Limiter returns the limiter that admits queries.
func (s *Service) Limiter() *Limiter { return s.limiter }

// MayStop reports whether targets of a version may be stopped at any moment, as the service has
// moved to another version, or is about to have.
func (s *Service) MayStop(version string) bool {
	m := s.move
	return m != nil && (m.Done || m.Ending) && m.before().Allows(version)
}

// before returns the versions that serve before the move.
func (m *MoveView) before() VersionSet {
	if m.From == "" {
		return ExceptVersion(m.To)
	}
	return OnlyVersion(m.From)
}

// VersionPreference states which versions a request may be sent to: those in Preferred
// and, if HasFallback is set, those in Fallback when no preferred one can be asked.
type VersionPreference struct {
	Preferred, Fallback VersionSet
	HasFallback         bool
}

// CanFallBack reports whether there is a fallback and the given version is one
// of the preferred ones.
func (p VersionPreference) CanFallBack(version string) bool {
	return p.HasFallback && p.Preferred.Allows(version)
}

// Sets returns the version sets in the order in which to look for targets.
func (p VersionPreference) Sets() []VersionSet {
	if p.HasFallback {
		return []VersionSet{p.Preferred, p.Fallback}
	}
	return []VersionSet{p.Preferred}
}

// VersionRule states how the versions of a route's requests are chosen. Requests get Usual, except
// the share MovedShare and, if Canary is set, one at a time, which get Moved.
type VersionRule struct {
	Usual, Moved VersionPreference
	MovedShare   float64
	Canary       bool
}

// VersionRule returns how the versions of a route's requests are chosen.
func (s *Service) VersionRule(route string) VersionRule {
	m := s.move
	if m == nil {
		return VersionRule{Usual: VersionPreference{Preferred: OnlyVersion(s.config.Version())}}
	}
	before, after := m.before(), OnlyVersion(m.To)
	share, known := m.RouteShares[route]
	if known && !m.Done {
		after = after.onTarget(m.LoadTarget)
	}
	r := VersionRule{Usual: VersionPreference{Preferred: before}, Moved: VersionPreference{Preferred: after, Fallback: before, HasFallback: true}}
	switch {
	case m.Done:
		r.Usual.Preferred = after
	case m.Stopped:
	case m.OldGone && (known || m.MayTry):
		r.Usual.Fallback, r.Usual.HasFallback = OnlyVersion(m.To), true
	case known:
		r.MovedShare = share
	default:
		r.Canary = m.Canary
	}
	return r
}

// ChooseVersions decides which versions a request of a route may be sent to. Draw is a
// random number, uniform in [0,1). The caller must call release when the request ends,
// since a process sends only one canary request at a time.
func (s *Service) ChooseVersions(route string, draw float64) (p VersionPreference, release func()) {
	r := s.VersionRule(route)
	switch {
	case draw < r.MovedShare:
		return r.Moved, func() {}
	case r.Canary && s.move.CanaryInFlight.CompareAndSwap(false, true):
		return r.Moved, func() { s.move.CanaryInFlight.Store(false) }
	}
	return r.Usual, func() {}
}
