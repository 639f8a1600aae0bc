package cowsliproute

import (
	"math/rand/v2"
	"time"

	"cowslipflow/cowslipconfig"
)

// View is what one tick of the control state publishes. It is immutable.
type View struct {
	revision      uint64
	domain        string
	freshness     *Freshness
	services      map[string]*Service
	byAddr        map[string]*Target
	crashVerdicts map[uint64]Verdict
	config        *cowslipconfig.Config
	routes        *Table
	relays        []*Relay
	configDigest  uint64

	roundRobin bool
}

// ViewOptions are the content of a View.
type ViewOptions struct {
	Revision      uint64
	FailureDomain string     // this process's own
	Freshness     *Freshness // shared by all views of a process; nil stands for always confirmed
	Services      map[string]*Service
	TargetsByAddr map[string]*Target
	CrashVerdicts map[uint64]Verdict
	Config        *cowslipconfig.Config
	Routes        *Table // nil if the text lists none
	Relays        []*Relay
	ConfigDigest  uint64 // of the operators' text in force
	RoundRobin    bool   // a baseline for measurements: choose without regard to load
}

// NewView makes a view. It keeps the maps, which must not change any more.
func NewView(o ViewOptions) *View {
	return &View{revision: o.Revision, domain: o.FailureDomain, freshness: o.Freshness, services: o.Services, byAddr: o.TargetsByAddr, crashVerdicts: o.CrashVerdicts, config: o.Config, routes: o.Routes, relays: o.Relays, configDigest: o.ConfigDigest, roundRobin: o.RoundRobin}
}

// Revision is the configuration in force.
func (v *View) Revision() uint64 { return v.revision }

// ConfigDigest is that of the operators' text in force: views of the same digest route
// alike.
func (v *View) ConfigDigest() uint64 { return v.configDigest }

// FailureDomain is this process's own.
func (v *View) FailureDomain() string { return v.domain }

// Scope tells which targets may be asked at now.
func (v *View) Scope(now time.Time) Scope {
	if v.freshness == nil {
		return ScopeAll
	}
	return v.freshness.Scope(now)
}

// Service finds a service, nil if the text lists none of that name.
func (v *View) Service(name string) *Service { return v.services[name] }

// Route finds the route of a request by its host and path, nil if there is
// none.
func (v *View) Route(host, path string) *Route { return v.routes.Find(host, path) }

// Class finds a class of callers by name.
func (v *View) Class(name string) (cowslipconfig.Class, bool) { return v.config.Class(name) }

// Target finds the target at an address, nil if none is known.
func (v *View) Target(addr string) *Target { return v.byAddr[addr] }

// CrashVerdict tells what is known of requests with this fingerprint.
func (v *View) CrashVerdict(fingerprint uint64) Verdict { return v.crashVerdicts[fingerprint] }

// PickOptions narrow a choice of replica.
type PickOptions struct {
	Version         VersionSet
	OwnDomainOnly   bool      // only targets of the view's own failure domain
	IdleOnly        bool      // only targets with a free slot
	Exclude         []*Target // not these
	Now             time.Time // to tell stalled targets and to pace cold ones; zero leaves that out
	PreferOwnDomain bool      // prefer targets of the view's own failure domain that are as good
}

// maxCompared is the number of replicas that a choice compares: more would make all
// processes pick the same one of many.
const maxCompared = 3

// Pick chooses the best of a few replicas drawn at random and takes room at it,
// to be given back by Target.Release. It returns nil if none may be asked. It
// allocates nothing.
func (v *View) Pick(replicas []*Target, o PickOptions, r *rand.Rand) *Target {
	n := len(replicas)
	if n == 0 {
		return nil
	}
	s := r.IntN(n)
	var best *Target
	for i, compared := 0, 0; i < n && compared < maxCompared; i++ {
		t := replicas[(s+i)%n]
		if !v.eligible(t, o) {
			continue
		}
		compared++
		if best == nil || !v.roundRobin && t.betterThan(best, o.Now, v.preferredDomain(o)) {
			best = t
		}
	}
	if best != nil && best.acquirePaced(o.Now) {
		return best
	}
	return nil
}

// preferredDomain is the failure domain whose targets are preferred, empty for none.
func (v *View) preferredDomain(o PickOptions) string {
	if o.PreferOwnDomain {
		return v.domain
	}
	return ""
}

func (v *View) eligible(t *Target, o PickOptions) bool {
	if !o.Version.Allows(t.info.Version) {
		return false
	}
	if o.OwnDomainOnly && t.info.FailureDomain != v.domain {
		return false
	}
	if !t.paceAllows(o.Now) {
		return false
	}
	for _, e := range o.Exclude {
		if e == t {
			return false
		}
	}
	if o.IdleOnly {
		return t.hasFreeSlot()
	}
	return t.hasCapacity()
}
