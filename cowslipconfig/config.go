package cowslipconfig

import (
	"strconv"
	"time"
)

// Kind says how the requests of a service are distributed.
type Kind string

// The kinds of service. A query of a wide service fans out to all its shards. A
// query of a narrow service goes to one replica. A composite service has no
// targets of its own: its queries fan out to the services it depends on.
const (
	Wide      Kind = "wide"
	Narrow    Kind = "narrow"
	Composite Kind = "composite"
)

// Config is a validated configuration. The zero value is empty. It is immutable
// and safe for concurrent use.
type Config struct {
	baseRevision uint64
	imported     bool
	domains      []FailureDomain
	classes      []Class
	services     []Service
	routes       []Route
	moves        []Move
	requireKey   bool
	workspaces   []Workspace
}

// BaseRevision is the revision that this configuration is an edit of, 0 if it
// states none.
func (c *Config) BaseRevision() uint64 { return c.baseRevision }

// FailureDomains lists the failure domains in the order of the configuration.
func (c *Config) FailureDomains() []FailureDomain { return c.domains }

// Classes lists the callers' classes in the order of the configuration.
func (c *Config) Classes() []Class { return c.classes }

// Services lists the services in the order of the configuration.
func (c *Config) Services() []Service { return c.services }

// Routes lists the routes in the order of the configuration.
func (c *Config) Routes() []Route { return c.routes }

// KeyRequired reports whether requests need the key of a workspace, except those on public
// routes.
func (c *Config) KeyRequired() bool { return c.requireKey || len(c.workspaces) > 0 }

// Workspaces lists the workspaces in the order of the configuration.
func (c *Config) Workspaces() []Workspace { return c.workspaces }

// Moves lists the moves in the order of the configuration.
func (c *Config) Moves() []Move { return c.moves }

// Service finds a service by name.
func (c *Config) Service(name string) (Service, bool) {
	for _, s := range c.services {
		if s.name == name {
			return s, true
		}
	}
	return Service{}, false
}

// Class finds a class by name. The empty name, for callers without a class,
// yields the zero Class.
func (c *Config) Class(name string) (Class, bool) {
	for _, k := range c.classes {
		if k.name == name {
			return k, true
		}
	}
	return Class{}, name == ""
}

// FailureDomainOut reports whether operators have taken a failure domain out of
// service.
func (c *Config) FailureDomainOut(domain string) bool {
	for _, d := range c.domains {
		if d.name == domain {
			return d.out
		}
	}
	return false
}

// FailureDomain is a part of the fleet that fails as a unit and is taken out of
// service as a unit.
type FailureDomain struct {
	name string
	out  bool
}

// Name is the failure domain's name.
func (d FailureDomain) Name() string { return d.name }

// Out reports whether operators have taken the failure domain out of service.
func (d FailureDomain) Out() bool { return d.out }

// Class is a group of callers.
type Class struct {
	name     string
	deadline time.Duration
	priority int
}

// Name is the class's name.
func (c Class) Name() string { return c.name }

// Deadline bounds a request of this class; 0 means that the service's deadline
// applies.
func (c Class) Deadline() time.Duration { return c.deadline }

// Priority ranges from 0 to 9. Under overload, requests of the lowest priority
// are shed first.
func (c Class) Priority() int { return c.priority }

// Service is a set of targets that answer the same requests.
type Service struct {
	name        string
	kind        Kind
	version     string
	shards      int
	replicas    int
	slots       int
	connections int
	connectTime time.Duration
	warmTime    time.Duration
	coldSlots   int
	coldRate    float64
	deadline    time.Duration
	extraLoad   float64
	dependsOn   []string
}

// Name is the service's name.
func (s Service) Name() string { return s.name }

// Kind says how the service's requests are distributed.
func (s Service) Kind() Kind { return s.kind }

// Version is the version of the targets that serve while no move is in progress;
// empty means any version.
func (s Service) Version() string { return s.version }

// Shards is the configured number of shards; a narrow service has 1 and a
// composite service 0.
func (s Service) Shards() int { return s.shards }

// Replicas is the configured number of replicas of each shard.
func (s Service) Replicas() int { return s.replicas }

// Slots is the number of requests that a warm target executes concurrently.
func (s Service) Slots() int { return s.slots }

// Connections is the number of connections that a target accepts in total, from
// all entry instances together.
func (s Service) Connections() int { return s.connections }

// ConnectTime is the expected time to open a connection to a target.
func (s Service) ConnectTime() time.Duration { return s.connectTime }

// WarmTime is the warm-up period: how long a target stays cold after its start.
func (s Service) WarmTime() time.Duration { return s.warmTime }

// ColdSlots limits the in-flight requests to a cold target, counted over all
// entry instances together.
func (s Service) ColdSlots() int { return s.coldSlots }

// ColdRate limits the requests per second to a cold target, counted over all
// entry instances together; 0 means no limit.
func (s Service) ColdRate() float64 { return s.coldRate }

// Deadline bounds a request whose class has no deadline of its own.
func (s Service) Deadline() time.Duration { return s.deadline }

// ExtraLoad is the budget of retries and hedged requests, as a fraction from 0 to
// 1 of the sub-requests needed without them.
func (s Service) ExtraLoad() float64 { return s.extraLoad }

// DependsOn names the services that this service depends on.
func (s Service) DependsOn() []string { return s.dependsOn }

// Move shifts a service's traffic from its version to another one.
type Move struct {
	service string
	from    string
	to      string
	by      time.Time
	within  time.Duration
	order   uint64
}

// ID identifies the move; it stays the same over all revisions of the
// configuration.
func (m Move) ID() string {
	if m.order > 0 {
		return MoveID(m.service, m.to, m.order)
	}
	return m.service + "/" + m.from + "/" + m.to + "/" + m.by.UTC().Format(time.RFC3339)
}

// MoveID returns the ID of the move that an operator's order of this number asks
// for.
func MoveID(service, to string, order uint64) string {
	return service + "/" + to + "/" + strconv.FormatUint(order, 10)
}

// Service names the service whose traffic moves.
func (m Move) Service() string { return m.service }

// From is the version that serves before the move; empty means every version
// except To.
func (m Move) From() string { return m.from }

// Side returns the side of the move, To or From, to which a target of the given
// version belongs; ok is false if it belongs to neither.
func (m Move) Side(version string) (side string, ok bool) {
	switch {
	case version == m.to:
		return m.to, true
	case m.from == "" || version == m.from:
		return m.from, true
	}
	return "", false
}

// To is the version that serves after the move.
func (m Move) To() string { return m.to }

// Deadline is the time by which a move that began at start must be done.
func (m Move) Deadline(start time.Time) time.Time {
	if m.within > 0 {
		return start.Add(m.within)
	}
	return m.by
}

// Within is the time that the move may take, counted from when an instance learns
// of it; 0 if the configuration states a point in time instead.
func (m Move) Within() time.Duration { return m.within }

// Order is the number of the operators' order that asked for the move, 0 if the
// configuration states none. It distinguishes repeated orders for one version.
func (m Move) Order() uint64 { return m.order }
