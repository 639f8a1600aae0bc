package cowslipcontrol

import (
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
)

// Default times of the control state.
const (
	// ConfirmationTTL is how long a confirmation of the configuration holds.
	ConfirmationTTL = 3 * time.Second
	// ViewTTL is how long a view may be used without a further tick.
	ViewTTL = time.Second
	// ResumeQuietPeriod is how long a process that stood still sends nothing while
	// its configuration is not confirmed.
	ResumeQuietPeriod = time.Second
	// JoinGrace is how long a new instance sends nothing to cold targets, so
	// that its peers count it before it counts itself.
	JoinGrace = 3 * time.Second
)

// Options configure a Control. Only ID is needed.
type Options struct {
	ID            string // unique over all entry instances
	FailureDomain string
	Addr          string  // where peers reach this instance
	Incarnation   string  // of this process; ID if empty
	Capacity      float64 // processor cores that the instance has, 0 if not known
	NoRamp        bool    // a baseline for measurements: cold targets are treated as warm
	NoPool        bool    // a baseline for measurements: evidence of peers is ignored
	RoundRobin    bool    // a baseline for measurements: replicas are chosen without regard to load
	NoAdmission   bool    // a baseline for measurements: no query is refused for load

	// ListOnly says that targets are known by the platform's list alone: it names
	// their incarnation, none is asked for a report, and the configuration in
	// force is obeyed for as long as no newer one is known.
	ListOnly bool
	Bounds

	// Event receives what belongs on the time line; ignored if nil.
	Event func(kind, subject, detail string)
}

// Bounds are the options that may change while the process runs.
type Bounds struct {
	// RemovalGrace is how long a listed target still serves after it has left
	// the list, for entries that lapse with the platform and come back.
	RemovalGrace time.Duration
	// RetrySlack is the number of retries and hedges of a service that all
	// instances together may send in each RetryWindow on top of the share of its
	// requests; the default of cowsliproute.Budget if 0.
	RetrySlack  int
	RetryWindow time.Duration
	// ExposeShare and ExposeSlack bound the requests that the new version of a move
	// gets before its end: a share of the service's requests, and so many more over
	// all instances. Both 0 set no bound.
	ExposeShare float64
	ExposeSlack int
}

// SetBounds takes up other bounds.
func (c *Control) SetBounds(b Bounds) {
	c.o.Bounds = b
	c.limitsDirty = true
}

// Control is the control state. Make it with New; it is not safe for
// concurrent use.
type Control struct {
	o           Options
	startedAt   time.Time
	lastTick    time.Time
	resumedAt   time.Time // when the process last stood still
	leaving     bool
	accepted    Accepted
	digest      uint64 // of the accepted text
	config      *cowslipconfig.Config
	platform    platformState
	freshness   *cowsliproute.Freshness
	confirmedAt time.Time
	quietUntil  time.Time
	scope       cowsliproute.Scope

	targets          []target
	targetAt         map[string]int
	shards           map[shard][]*target // the serving replicas of each, for one run of the limits; nil until asked for
	byAddr           map[string]*cowsliproute.Target
	peers            []peer
	services         map[string]*service
	routes           map[string]*route
	domains          map[string]*domainState // by failure domain
	relays           []*cowsliproute.Relay
	gatheredServices map[string]bool          // services that routes gather from
	latencyTargets   map[string]time.Duration // by service, the latency target of its slowest route
	table            *cowsliproute.Table
	moves            []move
	crashes          []crash
	outcomes         map[string]*cowslipmessage.Outcome
	recordedMoves    map[string]bool // moves whose start the platform has on record, by ID
	stops            map[string]*cowslipmessage.Stop

	departedCounts map[evidenceKey]counts // of peers that are gone

	seq             uint64
	limitsDue       time.Time
	limitsDirty     bool
	viewDirty       bool
	serviceDirty    map[string]bool // to be published anew
	targetsDirty    map[string]bool // whose snapshots are to be built anew, too
	crashesDirty    bool
	routesDirty     bool
	clearedSuspects map[uint64]time.Time // suspects found harmless, by fingerprint
	view            *cowsliproute.View
	crashVerdicts   map[uint64]cowsliproute.Verdict
	effects         Effects
}

// Effects are what the control state asks its process to do.
type Effects struct {
	Repair   bool                      // write the configuration in force to the store, which holds an older one
	Outcomes []*cowslipmessage.Outcome // record these ends of moves
	Started  []cowslipconfig.Move      // record that these moves run
	Push     bool                      // exchange with all peers at once
}

// New makes a control state at now.
func New(o Options, now time.Time) *Control {
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	if o.Incarnation == "" {
		o.Incarnation = o.ID
	}
	c := &Control{
		o: o, startedAt: now, lastTick: now, config: &cowslipconfig.Config{},
		freshness: &cowsliproute.Freshness{}, scope: cowsliproute.ScopeNone,
		targetAt: map[string]int{}, byAddr: map[string]*cowsliproute.Target{}, services: map[string]*service{},
		domains:  map[string]*domainState{},
		outcomes: map[string]*cowslipmessage.Outcome{}, recordedMoves: map[string]bool{}, stops: map[string]*cowslipmessage.Stop{},
		serviceDirty: map[string]bool{}, targetsDirty: map[string]bool{}, clearedSuspects: map[uint64]time.Time{}, departedCounts: map[evidenceKey]counts{}, viewDirty: true, limitsDirty: true,
	}
	return c
}

// ID is the instance's own.
func (c *Control) ID() string { return c.o.ID }

// Tick runs the systems at now and publishes a view. The effects are those due
// since the tick before.
func (c *Control) Tick(now time.Time) (*cowsliproute.View, Effects) {
	c.runFreshness(now)
	c.runMembership(now)
	c.runSilenceDetection(now)
	c.runCutRecovery(now)
	c.runHealth(now)
	c.runServiceHedging(now)
	c.runRouteHedging(now)
	c.runMoves(now)
	c.runQuarantine(now)
	c.runLimits(now)
	c.lastTick = now
	c.publish()
	e := c.effects
	c.effects = Effects{}
	return c.view, e
}

// View is the one last published, nil before the first tick.
func (c *Control) View() *cowsliproute.View { return c.view }

// Leave starts the graceful shutdown: peers count this instance out.
func (c *Control) Leave() {
	c.leaving = true
	c.limitsDirty = true
	c.effects.Push = true
}

// touch marks a target's row as changed for peers, limits and its service.
func (c *Control) touch(t *target) {
	c.seq++
	t.seq = c.seq
	c.limitsDirty = true
	c.markTargetsDirty(t.handle.Info().Service)
}

func (c *Control) markTargetsDirty(service string) {
	c.targetsDirty[service] = true
	c.markServiceDirty(service)
}

func (c *Control) markServiceDirty(service string) {
	c.serviceDirty[service] = true
	c.viewDirty = true
}
