package cowslipconfig

import (
	"strconv"
	"time"
)

// Kind tells how requests cross a service.
type Kind string

// The kinds of service. A query of a wide service crosses all its shards; one
// of a narrow service asks one replica; one of a composite service, which has
// no targets, crosses the services it depends on.
const (
	Wide      Kind = "wide"
	Narrow    Kind = "narrow"
	Composite Kind = "composite"
)

// Config is one accepted text. The zero value lists nothing. It is immutable
// and safe for concurrent use.
type Config struct {
	baseRevision uint64
	domains      []FailureDomain
	classes      []Class
	services     []Service
	routes       []Route
	moves        []Move
}

// BaseRevision is the revision that the edit started from, 0 if the text names none.
func (c *Config) BaseRevision() uint64 { return c.baseRevision }

// FailureDomains lists the failure domains in the order of the text.
func (c *Config) FailureDomains() []FailureDomain { return c.domains }

// Classes lists the callers' classes in the order of the text.
func (c *Config) Classes() []Class { return c.classes }

// Services lists the services in the order of the text.
func (c *Config) Services() []Service { return c.services }

// Routes lists the routes in the order of the text.
func (c *Config) Routes() []Route { return c.routes }

// Moves lists the moves in the order of the text.
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

// Class finds a class by name; the zero Class stands for an unnamed caller.
func (c *Config) Class(name string) (Class, bool) {
	for _, k := range c.classes {
		if k.name == name {
			return k, true
		}
	}
	return Class{}, name == ""
}

// FailureDomainOut tells whether operators have taken a failure domain out.
func (c *Config) FailureDomainOut(domain string) bool {
	for _, d := range c.domains {
		if d.name == domain {
			return d.out
		}
	}
	return false
}

// FailureDomain is a part of the fleet that fails, and is taken out, as one.
type FailureDomain struct {
	name string
	out  bool
}

// Name is the failure domain's name.
func (d FailureDomain) Name() string { return d.name }

// Out tells whether operators have taken it out.
func (d FailureDomain) Out() bool { return d.out }

// Class is a group of callers.
type Class struct {
	name     string
	deadline time.Duration
	priority int
}

// Name is the class's name.
func (c Class) Name() string { return c.name }

// Deadline bounds a request of this class; 0 leaves it to the service.
func (c Class) Deadline() time.Duration { return c.deadline }

// Priority runs from 0, refused first under overload, to 9, refused last.
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

// Kind tells how requests cross the service.
func (s Service) Kind() Kind { return s.kind }

// Version is the targets' version that serves outside a move; empty means any.
func (s Service) Version() string { return s.version }

// Shards is the number of shards that operators expect; a narrow service has 1.
func (s Service) Shards() int { return s.shards }

// Replicas is the number of replicas per shard that operators expect.
func (s Service) Replicas() int { return s.replicas }

// Slots is the number of requests that a warm target runs at once.
func (s Service) Slots() int { return s.slots }

// Connections is the number of connections that a target accepts in all.
func (s Service) Connections() int { return s.connections }

// ConnectTime is what opening a connection to a target takes.
func (s Service) ConnectTime() time.Duration { return s.connectTime }

// WarmTime is how long a target that has just started stays cold.
func (s Service) WarmTime() time.Duration { return s.warmTime }

// ColdSlots is the number of requests that a cold target bears at once, sent
// by all entry instances together.
func (s Service) ColdSlots() int { return s.coldSlots }

// ColdRate is the number of requests a second that a cold target bears, sent by all
// entry instances together; 0 sets no bound.
func (s Service) ColdRate() float64 { return s.coldRate }

// Deadline bounds a request whose class sets no deadline.
func (s Service) Deadline() time.Duration { return s.deadline }

// ExtraLoad is the share of retries and hedges allowed over the sub-requests
// needed, from 0 to 1.
func (s Service) ExtraLoad() float64 { return s.extraLoad }

// DependsOn names the services that this one needs.
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

// ID identifies the move over all revisions of the text.
func (m Move) ID() string {
	if m.order > 0 {
		return MoveID(m.service, m.to, m.order)
	}
	return m.service + "/" + m.from + "/" + m.to + "/" + m.by.UTC().Format(time.RFC3339)
}

// MoveID is the ID of the move that an order asks for.
func MoveID(service, to string, order uint64) string {
	return service + "/" + to + "/" + strconv.FormatUint(order, 10)
}

// Service names the service that moves.
func (m Move) Service() string { return m.service }

// From is the version that serves before the move; empty means all but To.
func (m Move) From() string { return m.from }

// Side tells which of From and To targets of a version stand for.
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

// Deadline is the time by which the move must be done if it began at start.
func (m Move) Deadline(start time.Time) time.Time {
	if m.within > 0 {
		return start.Add(m.within)
	}
	return m.by
}

// Within is the time that the move may take from when an instance learns of it, 0
// if the text states its end.
func (m Move) Within() time.Duration { return m.within }

// Order numbers the operators' order, 0 if the text states none.
func (m Move) Order() uint64 { return m.order }
