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

// MoveView is the state of a move, which shifts a service's traffic from one version to
// another, as far as requests need it.
type MoveView struct {
	ID             string
	From, To       string             // an empty From means all versions except To
	RouteShares    map[string]float64 // fraction of each route's requests sent to To; a route that is not listed sends only canary requests to To
	Canary         bool               // this process may send canary requests, one at a time
	Stopped        bool               // no request may go to To
	Done           bool               // all requests go to To
	CanaryInFlight *atomic.Bool
}

// Service is the state of a service that requests need. It is immutable, except for the
// counters of its Budget and Limiter.
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

// ChooseVersions decides which versions a request of a route may be sent to. Draw is a
// random number, uniform in [0,1). The caller must call release when the request ends,
// since a process sends only one canary request at a time.
func (s *Service) ChooseVersions(route string, draw float64) (p VersionPreference, release func()) {
	m := s.move
	if m == nil {
		return VersionPreference{Preferred: OnlyVersion(s.config.Version())}, func() {}
	}
	before, after := OnlyVersion(m.From), OnlyVersion(m.To)
	if m.From == "" {
		before = ExceptVersion(m.To)
	}
	p = VersionPreference{Preferred: before}
	share, known := m.RouteShares[route]
	switch {
	case m.Done:
		p.Preferred = after
	case m.Stopped:
	case known && draw < share:
		p = VersionPreference{Preferred: after, Fallback: before, HasFallback: true}
	case !known && m.Canary && m.CanaryInFlight.CompareAndSwap(false, true):
		return VersionPreference{Preferred: after, Fallback: before, HasFallback: true}, func() { m.CanaryInFlight.Store(false) }
	}
	return p, func() {}
}
