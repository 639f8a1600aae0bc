package cowsliproute

import (
	"sync/atomic"
	"time"

	"cowslipflow/cowslipconfig"
)

// Shard is one shard of a snapshot: the keys from Lo up to but without Hi, and
// the replicas that hold them.
type Shard struct {
	Lo, Hi   uint32
	Replicas []*Target
}

// Snapshot is one index version with its shard map.
type Snapshot struct {
	IndexVersion uint64
	Shards       []Shard // in order of Lo, not overlapping
}

// MoveView is a move as requests see it.
type MoveView struct {
	ID             string
	From, To       string             // an empty From stands for all versions but To
	Share          map[string]float64 // share of To by route; a route not listed is a canary
	Canary         bool               // this process may send one canary request at a time
	Stopped        bool               // no request may go to To
	Done           bool               // all requests go to To
	CanaryInFlight *atomic.Bool       // a canary request is in flight
}

// Service is a service as requests see it. It is immutable, but for the
// counters behind Budget and Limiter.
type Service struct {
	name       string
	config     cowslipconfig.Service
	snapshots  []Snapshot
	hedgeAfter time.Duration
	budget     *Budget
	limiter    *Limiter
	move       *MoveView
}

// ServiceOptions are the content of a Service.
type ServiceOptions struct {
	Config     cowslipconfig.Service
	Snapshots  []Snapshot    // the one to pin first
	HedgeAfter time.Duration // 0 turns hedging off
	Budget     *Budget
	Limiter    *Limiter
	Move       *MoveView
}

// NewService makes a service.
func NewService(o ServiceOptions) *Service {
	return &Service{name: o.Config.Name(), config: o.Config, snapshots: o.Snapshots, hedgeAfter: o.HedgeAfter, budget: o.Budget, limiter: o.Limiter, move: o.Move}
}

// Name is the service's name.
func (s *Service) Name() string { return s.name }

// Config is what the operators' text says of the service.
func (s *Service) Config() cowslipconfig.Service { return s.config }

// Snapshots lists the index versions that can be pinned, the best first.
func (s *Service) Snapshots() []Snapshot { return s.snapshots }

// HedgeAfter is how long to wait for an answer before asking a second replica.
func (s *Service) HedgeAfter() time.Duration { return s.hedgeAfter }

// Budget bounds retries and hedges.
func (s *Service) Budget() *Budget { return s.budget }

// Limiter admits queries.
func (s *Service) Limiter() *Limiter { return s.limiter }

// VersionPreference is which versions a request may be sent to: those of First, then,
// if HasNext, those of Next.
type VersionPreference struct {
	Preferred, Fallback VersionSet
	HasFallback         bool
}

// PrefersOverFallback tells whether a version is preferred though another one is there to
// fall back on.
func (p VersionPreference) PrefersOverFallback(version string) bool {
	return p.HasFallback && p.Preferred.Allows(version)
}

// Sets lists the sets in the order in which targets are looked for.
func (p VersionPreference) Sets() []VersionSet {
	if p.HasFallback {
		return []VersionSet{p.Preferred, p.Fallback}
	}
	return []VersionSet{p.Preferred}
}

// ChooseVersions decides which versions a request of a route may be sent to. The draw is
// uniform in [0,1). A canary request must call release when it ends.
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
	share, known := m.Share[route]
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
