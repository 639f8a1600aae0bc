package cowslipcontrol

import (
	"maps"
	"slices"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowslipworkspace"
)

// Time limits of the control state.
const (
	// ConfirmationTTL is how long a confirmation of the configuration is valid.
	ConfirmationTTL = 3 * time.Second
	// ViewTTL is how long a view may be used without a further tick.
	ViewTTL = time.Second
	// ResumeQuietPeriod is how long a process that resumes after a pause sends
	// nothing unless its configuration is confirmed.
	ResumeQuietPeriod = time.Second
	// JoinGrace is how long a new instance sends nothing to cold targets, so that
	// its peers count it as a sender before it starts to send.
	JoinGrace = 3 * time.Second
)

// Options configures a Control. Only ID is required.
type Options struct {
	ID            string // unique among all entry instances
	FailureDomain string
	Addr          string  // address at which peers reach this instance
	Incarnation   string  // identifies this process; ID if empty
	Capacity      float64 // processor cores of the instance, 0 if unknown
	NoRamp        bool    // baseline for measurements: treat cold targets as warm
	NoPool        bool    // baseline for measurements: ignore evidence from peers
	RoundRobin    bool    // baseline for measurements: choose replicas regardless of load
	NoAdmission   bool    // baseline for measurements: refuse no query for load

	// ListOnly makes the platform's list the only source of target state: the list
	// names each target's incarnation, targets are not asked for reports, and the
	// configuration in force stays valid until a newer one arrives.
	ListOnly bool
	Bounds

	// AnsweredSince reports whether a request was answered whole at a time or later, as
	// far as this is remembered. It may be nil.
	AnsweredSince func(now, at time.Time, fingerprint uint64) bool

	// Event receives the events for the timeline. It may be nil.
	Event func(kind, subject, detail string)
}

// Bounds holds the options that may change while the process runs.
type Bounds struct {
	// RemovalGrace is how long a target keeps serving after it has left the list.
	// Entries may lapse during a platform outage and come back.
	RemovalGrace time.Duration
	// RetrySlack is the number of retries and hedges that all instances together
	// may send to a service in each RetryWindow, in addition to a share of its
	// requests. If it is 0, the default of cowsliproute.Budget applies.
	RetrySlack  int
	RetryWindow time.Duration
	// ExposeShare and ExposeSlack bound the requests that the new version of a move
	// receives before the move ends: ExposeShare of the service's requests plus
	// ExposeSlack requests over all instances. There is no bound if both are 0.
	ExposeShare float64
	ExposeSlack int
}

// SetBounds replaces the bounds.
func (c *Control) SetBounds(b Bounds) {
	c.o.Bounds = b
	c.limitsDirty = true
}

// Control is the control state of an entry instance. Create it with New. It is
// not safe for concurrent use.
type Control struct {
	o           Options
	startedAt   time.Time
	lastTick    time.Time
	resumedAt   time.Time // when the process last resumed after a pause
	pausedUntil time.Time // when it last resumed after one longer than ViewTTL
	leaving     bool
	accepted    Accepted
	digest      uint64 // of the accepted configuration text
	config      *cowslipconfig.Config
	workspaces  *cowslipworkspace.Directory // of config; nil before the first one
	platform    platformState
	freshness   *cowsliproute.Freshness
	confirmedAt time.Time
	quietUntil  time.Time
	scope       cowsliproute.Scope
	era         uint64    // of the store, as far as this instance has seen it begin
	eraBeganAt  time.Time // when this instance learned of it; zero for the era in which the instance started
	lapsedUntil time.Time // until when targets whose entries lapsed in an outage stay in use

	targets          []target
	targetIndex      map[string]int
	shardReplicas    map[shardKey][]*target // serving replicas by shard, built when first needed in a run of runLimits
	targetByAddr     map[string]*cowsliproute.Target
	peers            []peer
	services         map[string]*service
	routes           map[string]*route
	domains          map[string]*domainState // by failure domain name
	relays           []*cowsliproute.Relay
	gatheredServices map[string]bool          // services that a route gathers from
	latencyTargets   map[string]time.Duration // by service: the highest latency target among its routes
	table            *cowsliproute.Table
	moves            []move
	crashes          []crash // reported by this instance and, without ListOnly, by peers
	sharedCrashes    []crash // in the store
	unanswered       []unanswered
	outcomes         map[string]*cowslipmessage.Outcome
	moveRecords      map[string]moveRecord // what the platform shows of moves, by ID
	lostRecords      map[string]bool       // by ID of moves: the outcome was known before the present era, of which no content has shown it
	stops            map[string]*cowslipmessage.Stop
	withdrawn        map[versionKey]withdrawal
	shownWithdrawals map[versionKey]Withdrawal // that the store shows

	departedCounts map[string]map[evidenceKey]counts // evidence received from peers that are gone and from previous incarnations of peers, by incarnation

	seq             uint64
	limitsDue       time.Time
	limitsDirty     bool
	viewDirty       bool
	serviceDirty    map[string]bool // services to publish again
	targetsDirty    map[string]bool // services whose snapshots must also be rebuilt
	crashesDirty    bool
	routesDirty     bool
	clearedSuspects map[uint64]map[string]time.Time // when targets last answered a suspect request, by fingerprint and service
	view            *cowsliproute.View
	clearings       map[clearingKey]cowslipplatform.Revision // revisions of those in the store, nil before it was read
	clearedUpTo     map[clearingKey]cowslipplatform.Revision // revisions of the last ones in the store, by fingerprint
	crashVerdicts   map[uint64]cowsliproute.Suspicion
	holds           map[uint64]*hold      // that the store shows, by content of the requests
	lostHolds       map[uint64]SharedHold // that the store showed before the present era and does not show whole, by content of the requests
	keptCrashes     []crash               // that the store showed before the present era
	newHolds        map[uint64]SharedHold // that the store must be told of, by content of the requests
	lifts           map[uint64]lift       // of holds, by content of the requests
	shortHolds      map[uint64]*shortHold // of quarantined requests that were answered shortly before, by fingerprint
	effects         Effects
}

// Effects are the actions that the control state requests from its process.
type Effects struct {
	Repair       bool                                // write the configuration in force to the store, which holds an older revision
	Outcomes     []*cowslipmessage.Outcome           // record these outcomes of moves
	Started      []cowslipconfig.Move                // record that these moves have started
	Expected     map[string]cowslipplatform.Revision // by move ID: the revision that its record in the store has if nothing has changed since Outcomes and Started were decided
	Crashes      []SharedCrash                       // tell the other instances of these crashes
	CrashesAgain []SharedCrash                       // likewise, of those that the store may have lost
	Withdrawals  []Withdrawal                        // write these to the store
	Holds        []SharedHold                        // write these holds to the store
	Push         bool                                // exchange state with all peers immediately
}

// New returns a Control that starts at now.
func New(o Options, now time.Time) *Control {
	if o.Event == nil {
		o.Event = func(string, string, string) {}
	}
	if o.AnsweredSince == nil {
		o.AnsweredSince = func(_, _ time.Time, _ uint64) bool { return false }
	}
	if o.Incarnation == "" {
		o.Incarnation = o.ID
	}
	c := &Control{
		o: o, startedAt: now, lastTick: now, config: &cowslipconfig.Config{},
		freshness: &cowsliproute.Freshness{}, scope: cowsliproute.ScopeNone,
		targetIndex: map[string]int{}, targetByAddr: map[string]*cowsliproute.Target{}, services: map[string]*service{},
		domains:  map[string]*domainState{},
		outcomes: map[string]*cowslipmessage.Outcome{}, moveRecords: map[string]moveRecord{}, lostRecords: map[string]bool{}, stops: map[string]*cowslipmessage.Stop{}, withdrawn: map[versionKey]withdrawal{},
		serviceDirty: map[string]bool{}, targetsDirty: map[string]bool{}, clearedSuspects: map[uint64]map[string]time.Time{}, shortHolds: map[uint64]*shortHold{}, lifts: map[uint64]lift{}, holds: map[uint64]*hold{}, departedCounts: map[string]map[evidenceKey]counts{}, viewDirty: true, limitsDirty: true,
	}
	return c
}

// ID returns the ID of this instance.
func (c *Control) ID() string { return c.o.ID }

// Tick runs all steps at now. It returns the current view and the effects
// requested since the previous tick.
func (c *Control) Tick(now time.Time) (*cowsliproute.View, Effects) {
	confirmedUntil := c.runFreshness(now)
	c.runMembership(now)
	c.runSilenceDetection(now)
	c.runCutRecovery(now)
	c.runHealth(now)
	c.runServiceHedging(now)
	c.runRouteHedging(now)
	c.runMoves(now)
	c.runWithdrawals(now)
	c.runUnanswered(now)
	c.runQuarantine(now)
	c.effects.Holds = slices.AppendSeq(c.lostHoldsToWrite(now), maps.Values(c.newHolds))
	c.runLimits(now)
	c.lastTick = now
	c.publish()
	c.publishFreshness(now, confirmedUntil)
	e := c.effects
	c.effects = Effects{}
	return c.view, e
}

// View returns the view last published, or nil before the first tick.
func (c *Control) View() *cowsliproute.View { return c.view }

// Leave starts the graceful shutdown. It tells the peers to no longer count this
// instance as a sender.
func (c *Control) Leave() {
	c.leaving = true
	c.limitsDirty = true
	c.effects.Push = true
}

// touch marks a target's row as changed, so that the row is sent to peers, the
// limits are recomputed and the service is published again.
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
