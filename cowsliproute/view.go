package cowsliproute

import (
	"math/rand/v2"
	"time"

	"cowslipflow/cowslipconfig"
)

// View is what one tick of the control state publishes. It is immutable.
type View struct {
	revision  uint64
	domain    string
	freshness *Freshness
	services  map[string]*Service
	byAddr    map[string]*Target
	crashers  map[uint64]Verdict
	config    *cowslipconfig.Config
	routes    *Table
	relays    []*Relay
	digest    uint64

	roundRobin bool
}

// ViewOptions are the content of a View.
type ViewOptions struct {
	Revision      uint64
	FailureDomain string     // this process's own
	Freshness     *Freshness // shared by all views of a process; nil stands for always confirmed
	Services      map[string]*Service
	ByAddr        map[string]*Target
	Crashers      map[uint64]Verdict
	Config        *cowslipconfig.Config
	Routes        *Table // nil if the text lists none
	Relays        []*Relay
	Digest        uint64 // of the operators' text in force
	RoundRobin    bool   // a baseline for measurements: choose without regard to load
}

// NewView makes a view. It keeps the maps, which must not change any more.
func NewView(o ViewOptions) *View {
	return &View{revision: o.Revision, domain: o.FailureDomain, freshness: o.Freshness, services: o.Services, byAddr: o.ByAddr, crashers: o.Crashers, config: o.Config, routes: o.Routes, relays: o.Relays, digest: o.Digest, roundRobin: o.RoundRobin}
}

// Revision is the configuration in force.
func (v *View) Revision() uint64 { return v.revision }

// Digest is that of the operators' text in force: views of the same digest route
// alike.
func (v *View) Digest() uint64 { return v.digest }

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

// Crasher tells what is known of requests with this fingerprint.
func (v *View) Crasher(fingerprint uint64) Verdict { return v.crashers[fingerprint] }

// PickOptions narrow a choice of replica.
type PickOptions struct {
	Version VersionSet
	Own     bool      // only targets of the view's own failure domain
	Idle    bool      // only targets with a free slot
	Except  []*Target // not these
	Now     time.Time // to tell stalled targets and to pace cold ones; zero leaves that out
	Near    bool      // prefer targets of the view's own failure domain that are as good
}

// choices is the number of replicas that a choice compares: more would make all
// processes pick the same one of many.
const choices = 3

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
	for i, compared := 0, 0; i < n && compared < choices; i++ {
		t := replicas[(s+i)%n]
		if !v.allowed(t, o) {
			continue
		}
		compared++
		if best == nil || !v.roundRobin && t.better(best, o.Now, v.near(o)) {
			best = t
		}
	}
	if best != nil && best.acquireAt(o.Now) {
		return best
	}
	return nil
}

// near is the failure domain whose targets are preferred, empty for none.
func (v *View) near(o PickOptions) string {
	if o.Near {
		return v.domain
	}
	return ""
}

func (v *View) allowed(t *Target, o PickOptions) bool {
	if !o.Version.Allows(t.info.Version) {
		return false
	}
	if o.Own && t.info.FailureDomain != v.domain {
		return false
	}
	if !t.due(o.Now) {
		return false
	}
	for _, e := range o.Except {
		if e == t {
			return false
		}
	}
	if o.Idle {
		return t.idle()
	}
	return t.room()
}
