package cowsliproute

import (
	"sync/atomic"
	"time"

	"cowslipflow/cowslipconfig"
)

// Part is one shard of a snapshot: the keys from Lo up to but without Hi, and
// the replicas that hold them.
type Part struct {
	Lo, Hi   uint32
	Replicas []*Target
}

// Snapshot is one index version with its shard map.
type Snapshot struct {
	IndexVersion uint64
	Parts        []Part // in order of Lo, not overlapping
}

// MoveView is a move as requests see it.
type MoveView struct {
	ID       string
	From, To string             // an empty From stands for all versions but To
	Share    map[string]float64 // share of To by route; a route not listed is a canary
	Canary   bool               // this process may send one canary request at a time
	Stopped  bool               // no request may go to To
	Done     bool               // all requests go to To
	Busy     *atomic.Bool       // a canary request is in flight
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

// Preference is which versions a request may be sent to: those of First, then,
// if HasNext, those of Next.
type Preference struct {
	First, Next VersionSet
	HasNext     bool
}

// Unproven tells whether a version is preferred though another one is there to
// fall back on.
func (p Preference) Unproven(version string) bool { return p.HasNext && p.First.Allows(version) }

// Sets lists the sets in the order in which targets are looked for.
func (p Preference) Sets() []VersionSet {
	if p.HasNext {
		return []VersionSet{p.First, p.Next}
	}
	return []VersionSet{p.First}
}

// Versions decides which versions a request of a route may be sent to. The draw is
// uniform in [0,1). A canary request must call release when it ends.
func (s *Service) Versions(route string, draw float64) (p Preference, release func()) {
	m := s.move
	if m == nil {
		return Preference{First: OnlyVersion(s.config.Version())}, func() {}
	}
	before, after := OnlyVersion(m.From), OnlyVersion(m.To)
	if m.From == "" {
		before = ExceptVersion(m.To)
	}
	p = Preference{First: before}
	share, known := m.Share[route]
	switch {
	case m.Done:
		p.First = after
	case m.Stopped:
	case known && draw < share:
		p = Preference{First: after, Next: before, HasNext: true}
	case !known && m.Canary && m.Busy.CompareAndSwap(false, true):
		return Preference{First: after, Next: before, HasNext: true}, func() { m.Busy.Store(false) }
	}
	return p, func() {}
}
