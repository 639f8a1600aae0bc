package cowsliproute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipworkspace"
)

// View is the routing snapshot that one tick of the control state publishes. It is
// immutable.
type View struct {
	revision      uint64
	domain        string
	freshness     *Freshness
	services      map[string]*Service
	byAddr        map[string]*Target
	crashVerdicts map[uint64]Suspicion
	config        *cowslipconfig.Config
	routes        *Table
	relays        []*Relay
	configDigest  uint64
	workspaces    *cowslipworkspace.Directory

	roundRobin bool
}

// ViewOptions are the contents of a View.
type ViewOptions struct {
	Revision      uint64
	FailureDomain string     // of this process
	Freshness     *Freshness // shared by all views of a process; nil means that the configuration always counts as confirmed
	Services      map[string]*Service
	TargetsByAddr map[string]*Target
	CrashVerdicts map[uint64]Suspicion
	Config        *cowslipconfig.Config
	Routes        *Table // nil if the configuration has no routes
	Relays        []*Relay
	ConfigDigest  uint64 // of the operators' configuration in force
	Workspaces    *cowslipworkspace.Directory
	RoundRobin    bool // choose replicas regardless of their load, as a baseline for measurements
}

// NewView returns a view. It keeps the maps, which the caller must not change any more.
func NewView(o ViewOptions) *View {
	return &View{revision: o.Revision, domain: o.FailureDomain, freshness: o.Freshness, services: o.Services, byAddr: o.TargetsByAddr, crashVerdicts: o.CrashVerdicts, config: o.Config, routes: o.Routes, relays: o.Relays, configDigest: o.ConfigDigest, workspaces: o.Workspaces, roundRobin: o.RoundRobin}
}

// Revision returns the revision of the configuration in force.
func (v *View) Revision() uint64 { return v.revision }

// ConfigDigest returns the digest of the operators' configuration in force. Views with
// the same digest route requests by the same rules.
func (v *View) ConfigDigest() uint64 { return v.configDigest }

// Workspaces returns the workspaces of the operators' configuration in force.
func (v *View) Workspaces() *cowslipworkspace.Directory { return v.workspaces }

// FailureDomain returns the failure domain of this process.
func (v *View) FailureDomain() string { return v.domain }

// Scope returns which targets may be asked at now.
func (v *View) Scope(now time.Time) Scope {
	if v.freshness == nil {
		return ScopeAll
	}
	return v.freshness.Scope(now)
}

// Service returns the service with the given name, or nil if the configuration has none.
func (v *View) Service(name string) *Service { return v.services[name] }

// Route returns the route for a request's host and path, or nil if there is none.
func (v *View) Route(host, path string) *Route { return v.routes.Find(host, path) }

// Class returns the class of callers with the given name.
func (v *View) Class(name string) (cowslipconfig.Class, bool) { return v.config.Class(name) }

// Target returns the target at an address, or nil if none is known.
func (v *View) Target(addr string) *Target { return v.byAddr[addr] }

// TargetsOf returns all known targets of a service, also those that are not among its replicas, in
// the order of their IDs.
func (v *View) TargetsOf(service string) []*Target {
	var l []*Target
	for _, t := range v.byAddr {
		if t.info.Service == service {
			l = append(l, t)
		}
	}
	slices.SortFunc(l, func(a, b *Target) int { return cmp.Compare(a.info.ID, b.info.ID) })
	return l
}

// CrashVerdict returns the verdict on requests with this fingerprint.
func (v *View) CrashVerdict(fingerprint uint64) CrashVerdict {
	return v.crashVerdicts[fingerprint].Verdict
}

// Suspicion returns what is known of crashes under requests with this fingerprint.
func (v *View) Suspicion(fingerprint uint64) Suspicion { return v.crashVerdicts[fingerprint] }

// PickOptions restrict the choice of a replica.
type PickOptions struct {
	Version         VersionSet
	OwnDomainOnly   bool      // only targets of the view's own failure domain
	IdleOnly        bool      // only targets at which the request would not have to queue
	Exclude         []*Target // targets that must not be chosen
	Now             time.Time // to avoid stalled targets and pace cold ones; the zero time skips both
	PreferOwnDomain bool      // prefer targets of the view's own failure domain if they are about as good as others
}

// maxCompared is the maximum number of replicas that Pick compares. Comparing more would
// make all processes choose the same one of many replicas.
const maxCompared = 3

// Pick acquires and returns the best of up to maxCompared replicas, starting at a random
// one. The caller must call Target.Release when the request ends. Pick returns nil if no
// replica is eligible, or if other requests use up the capacity of the chosen one first.
// It does not allocate.
func (v *View) Pick(replicas []*Target, o PickOptions, r *rand.Rand) *Target {
	n := len(replicas)
	if n == 0 {
		return nil
	}
	s := r.IntN(n)
	var best *Target
	for i, compared := 0, 0; i < n && (compared < maxCompared || v.roundRobin); i++ {
		t := replicas[(s+i)%n]
		if !v.eligible(t, o) {
			continue
		}
		compared++
		better := best != nil && t.betterThan(best, o.Now, v.preferredDomain(o))
		if v.roundRobin {
			// Each of the eligible replicas is chosen equally often.
			better = r.IntN(compared) == 0
		}
		if best == nil || better {
			best = t
		}
	}
	if best != nil && best.acquirePaced(o.Now) {
		return best
	}
	return nil
}

// preferredDomain returns the failure domain whose targets are preferred, or the empty
// string for no preference.
func (v *View) preferredDomain(o PickOptions) string {
	if o.PreferOwnDomain {
		return v.domain
	}
	return ""
}

// eligible reports whether a replica satisfies the options and has capacity now. Its
// pace must allow a request, too, and it must not be paused.
func (v *View) eligible(t *Target, o PickOptions) bool { return v.Obstacle(t, o) == "" }

// Obstacle returns why Pick does not choose a replica, or the empty string if it may. Of several
// obstacles, it returns the one that is likely to last longest.
func (v *View) Obstacle(t *Target, o PickOptions) Obstacle {
	if !o.Version.AllowsTarget(t.info) {
		return OtherVersion
	}
	if o.OwnDomainOnly && t.info.FailureDomain != v.domain {
		return OtherDomain
	}
	for _, e := range o.Exclude {
		if e == t {
			return AlreadyAsked
		}
	}
	if b := t.obstacle(); b != "" {
		return b
	}
	if t.paused(o.Now) > 0 {
		return Paused
	}
	if !t.paceAllows(o.Now) {
		return Paced
	}
	if o.IdleOnly && !t.hasFreeSlot() {
		return WouldQueue
	}
	return ""
}
