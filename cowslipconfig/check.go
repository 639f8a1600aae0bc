package cowslipconfig

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"
)

// Limits and defaults of configuration values.
const (
	maxShards          = 10000
	maxReplicas        = 1000
	maxSlots           = 10000
	minDeadline        = 5 * time.Millisecond
	maxPriority        = 9
	defaultReplicas    = 2
	defaultSlots       = 2
	defaultConnections = 25
	defaultConnectTime = 5 * time.Millisecond
	defaultWarmTime    = 10 * time.Second
	defaultDeadline    = 500 * time.Millisecond
	defaultExtraLoad   = 0.05
)

var namePattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9._-]{0,199}$`)

type checker struct {
	source   []byte
	limits   limits
	lines    map[string]int // by path; nil until the first problem
	problems Problems
}

func (k *checker) add(path, message, hint string) {
	if k.lines == nil {
		k.lines = indexLines(k.source)
	}
	// A missing key, and a key within an inline table, has the line of what contains it.
	l, ok := k.lines[path]
	for p := path; !ok; l, ok = k.lines[p] {
		i := strings.LastIndexAny(p, ".[")
		if i < 0 {
			break
		}
		p = p[:i]
	}
	k.problems = append(k.problems, Problem{Line: l, Field: path, Message: message, Hint: hint})
}

func (k *checker) sorted() Problems {
	slices.SortStableFunc(k.problems, func(a, b Problem) int { return a.Line - b.Line })
	return k.problems
}

func (k *checker) buildConfig(r Spec) *Config {
	k.limits = editLimits
	if r.Imported {
		k.limits = importLimits
	}
	c := &Config{baseRevision: r.Revision, imported: r.Imported, requireKey: r.RequireKey}
	names := map[string]bool{}
	for i, d := range r.FailureDomains {
		p := fmt.Sprintf("failureDomains[%d]", i)
		k.checkName(p, d.Name, names)
		if d.State != "" && d.State != "in" && d.State != "out" {
			k.add(p+".state", fmt.Sprintf("unknown state %q", d.State), `write "in" or "out"`)
		}
		c.domains = append(c.domains, FailureDomain{name: d.Name, out: d.State == "out"})
	}
	if len(c.domains) == 0 {
		k.add("failureDomains", "no failure domain listed", "list each one with [[failureDomains]]")
	}
	names = map[string]bool{}
	for i, x := range r.Classes {
		c.classes = append(c.classes, k.buildClass(fmt.Sprintf("classes[%d]", i), x, names))
	}
	names = map[string]bool{}
	for i, s := range r.Services {
		c.services = append(c.services, k.buildService(fmt.Sprintf("services[%d]", i), s, names))
	}
	k.checkDependencies(c)
	k.buildRoutes(c, r.Routes)
	k.buildWorkspaces(c, r.Workspaces)
	k.buildMoves(c, r.Moves)
	return c
}

func (k *checker) checkName(path, name string, seen map[string]bool) {
	switch {
	case name == "":
		k.add(path+".name", "missing", "give a name")
	case !k.limits.name(name):
		k.add(path+".name", fmt.Sprintf("invalid name %q", name), k.limits.nameHint)
	case seen[name]:
		k.add(path+".name", fmt.Sprintf("duplicate name %q", name), "give each one a unique name")
	}
	seen[name] = true
}

func (k *checker) buildClass(p string, r ClassSpec, names map[string]bool) Class {
	k.checkName(p, r.Name, names)
	if r.Deadline != 0 {
		k.checkDuration(p+".deadline", time.Duration(r.Deadline), minDeadline, k.limits.deadline)
	}
	k.checkRange(p+".priority", r.Priority, 0, maxPriority)
	return Class{name: r.Name, deadline: time.Duration(r.Deadline), priority: r.Priority}
}

func (k *checker) buildService(p string, r ServiceSpec, names map[string]bool) Service {
	k.checkName(p, r.Name, names)
	s := Service{
		name: r.Name, kind: Kind(r.Kind), version: r.Version, dependsOn: r.DependsOn,
		shards:      r.Shards,
		replicas:    orDefault(r.Replicas, defaultReplicas),
		slots:       orDefault(r.Slots, defaultSlots),
		connections: orDefault(r.Connections, defaultConnections),
		connectTime: orDefault(time.Duration(r.ConnectTime), defaultConnectTime),
		warmTime:    orDefault(time.Duration(r.WarmTime), defaultWarmTime),
		coldSlots:   orDefault(r.ColdSlots, 1),
		coldRate:    r.ColdRate,
		deadline:    orDefault(time.Duration(r.Deadline), defaultDeadline),
		extraLoad:   defaultExtraLoad,
	}
	if r.ExtraLoad != nil {
		s.extraLoad = *r.ExtraLoad
	}
	switch s.kind {
	case Wide:
		k.checkRange(p+".shards", s.shards, 1, maxShards)
	case Narrow:
		s.shards = orDefault(s.shards, 1)
		k.checkRange(p+".shards", s.shards, 1, 1)
	case Composite:
		if len(r.DependsOn) == 0 {
			k.add(p+".dependsOn", "a composite service needs services to depend on", "name at least one")
		}
		k.checkRange(p+".shards", s.shards, 0, 0)
	default:
		k.add(p+".kind", fmt.Sprintf("unknown kind %q", r.Kind), `write "wide", "narrow" or "composite"`)
	}
	k.checkRange(p+".replicas", s.replicas, 1, maxReplicas)
	k.checkRange(p+".slots", s.slots, 1, maxSlots)
	k.checkRange(p+".connections", s.connections, 1, k.limits.connections)
	k.checkRange(p+".coldSlots", s.coldSlots, 1, s.slots)
	if !(s.coldRate >= 0 && s.coldRate <= k.limits.coldRate) {
		k.add(p+".coldRate", fmt.Sprintf("%v is out of range", s.coldRate), fmt.Sprintf("write a number of requests per second from 0 to %v", k.limits.coldRate))
	}
	k.checkDuration(p+".connectTime", s.connectTime, 0, time.Minute)
	k.checkDuration(p+".warmTime", s.warmTime, 0, k.limits.warmTime)
	k.checkDuration(p+".deadline", s.deadline, minDeadline, k.limits.deadline)
	if !(s.extraLoad >= 0 && s.extraLoad <= 1) {
		k.add(p+".extraLoad", fmt.Sprintf("%v is out of range", s.extraLoad), "write a fraction from 0 to 1")
	}
	return s
}

func (k *checker) checkRange(path string, n, low, high int) {
	if n < low || n > high {
		k.add(path, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("write a number from %d to %d", low, high))
	}
}

func (k *checker) checkDuration(path string, d, low, high time.Duration) {
	if d < low || d > high {
		k.add(path, fmt.Sprintf("%v is out of range", d), fmt.Sprintf("write a duration from %v to %v", low, high))
	}
}

func (k *checker) checkDependencies(c *Config) {
	for i, s := range c.services {
		p := fmt.Sprintf("services[%d].dependsOn", i)
		for _, d := range s.dependsOn {
			if _, ok := c.Service(d); !ok {
				k.add(p, fmt.Sprintf("no service %q", d), "name a service of this configuration")
			}
		}
		if w := findCycle(c, s.name, s.name, nil); w != nil {
			k.add(p, "cycle "+strings.Join(w, " -> "), "remove one of these dependencies")
		}
	}
}

// findCycle returns the path that leads from name over its dependencies to goal,
// appended to path, or nil if there is none.
func findCycle(c *Config, goal, name string, path []string) []string {
	s, ok := c.Service(name)
	if !ok || slices.Contains(path, name) {
		return nil
	}
	path = append(slices.Clone(path), name)
	for _, d := range s.dependsOn {
		if d == goal {
			return append(path, d)
		}
		if w := findCycle(c, goal, d, path); w != nil {
			return w
		}
	}
	return nil
}

func (k *checker) buildMoves(c *Config, r []MoveSpec) {
	seen := map[string]bool{}
	for i, m := range r {
		p := fmt.Sprintf("moves[%d]", i)
		s, ok := c.Service(m.Service)
		switch {
		case !ok:
			k.add(p+".service", fmt.Sprintf("no service %q", m.Service), "name a service of this configuration")
		case seen[m.Service]:
			k.add(p+".service", fmt.Sprintf("%q has more than one move", m.Service), "list one move per service")
		case s.kind == Composite:
			k.add(p+".service", "a composite service has no targets", "move the services that it depends on")
		case s.version == "" && m.Within == 0:
			k.add(p+".service", fmt.Sprintf("service %q names no version to move from", m.Service), "give the service a version")
		}
		seen[m.Service] = true
		if m.To == "" || m.To == s.version {
			k.add(p+".to", "no other version", "name the version to move to")
		}
		switch {
		case m.By.IsZero() && m.Within == 0:
			k.add(p+".by", "missing", "write a time such as 2027-01-31T18:00:00Z, or within and order")
		case !m.By.IsZero() && m.Within != 0:
			k.add(p+".within", "the move has an end already", "write either by or within")
		case m.Within < 0:
			k.add(p+".within", time.Duration(m.Within).String(), "write a duration greater than 0")
		case m.Within > 0 && m.Order == 0:
			k.add(p+".order", "missing", "number the order, to distinguish it from a later order for the same version")
		}
		c.moves = append(c.moves, Move{service: m.Service, from: s.version, to: m.To, by: m.By, within: time.Duration(m.Within), order: m.Order})
	}
}

// CheckEdit makes the checks that depend on the current time and on the previous
// configuration: the deadline of a move that is new in after must be later than now,
// unless the move states a duration instead. Problems have the line numbers of source,
// which is the TOML of after. If there is no previous configuration, before is nil.
func CheckEdit(before, after *Config, source []byte, now time.Time) error {
	k := &checker{source: source}
	old := map[string]bool{}
	if before != nil {
		for _, m := range before.moves {
			old[m.ID()] = true
		}
	}
	for i, m := range after.moves {
		if !old[m.ID()] && m.within == 0 && !m.by.After(now) {
			k.add(fmt.Sprintf("moves[%d].by", i), m.by.UTC().Format(time.RFC3339)+" is in the past", "write a time after "+now.UTC().Format(time.RFC3339))
		}
	}
	if len(k.problems) > 0 {
		return k.sorted()
	}
	return nil
}

func orDefault[T comparable](v, fallback T) T {
	var z T
	if v == z {
		return fallback
	}
	return v
}
