package cowslipcontrol

import (
	"time"

	"cowslipflow/cowsliptarget"
)

// Status describes an entry instance to operators.
type Status struct {
	ID            string          `json:"id"`
	FailureDomain string          `json:"failureDomain"`
	Revision      uint64          `json:"revision"`
	Era           uint64          `json:"era,omitempty"` // of the platform's store, if Revision is that of the store
	Scope         string          `json:"scope"`         // which targets may be asked: all, own (those of its failure domain) or none
	Leaving       bool            `json:"leaving"`
	PlatformDown  bool            `json:"platformDown"`
	InForce       []string        `json:"inForce"`      // instances that lately reported this revision in force
	NotConfirmed  []string        `json:"notConfirmed"` // the other instances that are not gone
	Services      []ServiceStatus `json:"services"`
}

// ServiceStatus describes a service to operators.
type ServiceStatus struct {
	Name         string   `json:"name"`
	IndexVersion uint64   `json:"indexVersion"`
	Coverage     float64  `json:"coverage"` // share of the key space with a serving replica
	Targets      int      `json:"targets"`
	Cold         int      `json:"cold"`
	Ejected      int      `json:"ejected"`
	Leaving      int      `json:"leaving"`
	Impaired     []string `json:"impaired"` // services it depends on that are not fully covered
}

// Counts are the numbers of peers and targets as an instance sees them.
type Counts struct {
	Revision uint64         `json:"revision"` // of the configuration in force
	Peers    int            `json:"peers"`    // other instances that are not gone
	Targets  map[string]int `json:"targets"`  // by state: open, closed, ejected, cutOff, leaving; those that state a request limit also as limited
}

// Counts counts the peers, and the targets by state.
func (c *Control) Counts() Counts {
	n := Counts{Revision: c.accepted.Revision, Targets: map[string]int{}}
	for i := range c.peers {
		n.Peers += boolToInt(!c.peers[i].gone())
	}
	for i := range c.targets {
		t := &c.targets[i]
		if t.requestLimit > 0 && !t.leaving() {
			n.Targets["limited"]++
		}
		switch {
		case t.leaving():
			n.Targets["leaving"]++
		case !c.ensureDomain(t.handle.Info().FailureDomain).cutSince.IsZero():
			n.Targets["cutOff"]++
		case t.ejected:
			n.Targets["ejected"]++
		case t.handle.Available():
			n.Targets["open"]++
		default:
			n.Targets["closed"]++
		}
	}
	return n
}

// FailureDomainStatus describes a failure domain to operators.
type FailureDomainStatus struct {
	Name          string `json:"name"`
	State         string `json:"state"` // in or out
	Targets       int    `json:"targets"`
	Cold          int    `json:"cold"`
	Instances     int    `json:"entryInstances"`
	LiveInstances int    `json:"entryInstancesHeard"`
}

const keySpace = cowsliptarget.KeySpace

// livenessTimeout is how long after its last message a peer counts as live in the
// reports to operators.
const livenessTimeout = 3 * time.Second

// Status reports the status of this instance and its services.
func (c *Control) Status(now time.Time) Status {
	s := Status{
		ID: c.o.ID, FailureDomain: c.o.FailureDomain, Revision: c.accepted.Revision, Era: c.accepted.Era, Scope: c.freshness.Scope(now).String(),
		Leaving: c.leaving, PlatformDown: c.platform.down, InForce: []string{c.o.ID}, NotConfirmed: []string{},
	}
	for i := range c.peers {
		p := &c.peers[i]
		switch {
		case p.gone():
		case p.revision == c.accepted.At() && now.Sub(p.lastMessage) < livenessTimeout:
			s.InForce = append(s.InForce, p.id)
		default:
			s.NotConfirmed = append(s.NotConfirmed, p.id)
		}
	}
	for _, x := range c.config.Services() {
		s.Services = append(s.Services, c.serviceStatus(now, x.Name()))
	}
	return s
}

func (c *Control) serviceStatus(now time.Time, name string) ServiceStatus {
	s := ServiceStatus{Name: name, Impaired: []string{}}
	r := c.services[name]
	if len(r.snapshots) > 0 {
		s.IndexVersion = r.snapshots[0].IndexVersion
		s.Coverage = float64(coveredKeys(r.snapshots[0])) / keySpace
	}
	for i := range c.targets {
		t := &c.targets[i]
		if t.handle.Info().Service != name {
			continue
		}
		s.Targets++
		s.Cold += boolToInt(c.isCold(now, t))
		s.Ejected += boolToInt(t.ejected)
		s.Leaving += boolToInt(t.leaving())
	}
	for _, d := range r.config.DependsOn() {
		x := c.services[d]
		if len(x.snapshots) == 0 || coveredKeys(x.snapshots[0]) < keySpace {
			s.Impaired = append(s.Impaired, d)
		}
	}
	return s
}

// isCold reports whether a target is cold or within its warm-up time.
func (c *Control) isCold(now time.Time, t *target) bool {
	return t.cold || now.Sub(t.warmupStart) < c.warmTime(t)
}

// FailureDomains reports the failure domains of the configuration in force.
func (c *Control) FailureDomains(now time.Time) []FailureDomainStatus {
	l := []FailureDomainStatus{}
	for _, d := range c.config.FailureDomains() {
		s := FailureDomainStatus{Name: d.Name(), State: "in"}
		if d.Out() {
			s.State = "out"
		}
		for i := range c.targets {
			if t := &c.targets[i]; t.handle.Info().FailureDomain == d.Name() {
				s.Targets++
				s.Cold += boolToInt(c.isCold(now, t))
			}
		}
		if d.Name() == c.o.FailureDomain {
			s.Instances, s.LiveInstances = 1, 1
		}
		for i := range c.peers {
			if p := &c.peers[i]; p.failureDomain == d.Name() && !p.gone() {
				s.Instances++
				s.LiveInstances += boolToInt(now.Sub(p.lastMessage) < livenessTimeout)
			}
		}
		l = append(l, s)
	}
	return l
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
