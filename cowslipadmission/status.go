package cowslipadmission

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// maxShares bounds the shares of a Status.
const maxShares = 32

// Counts are the decisions of a pool.
type Counts struct {
	Admitted map[int]int64            `json:"admitted"` // by priority
	Refused  map[Reason]map[int]int64 `json:"refused"`  // by reason and priority
}

func (c *Counts) add(priority int, d Decision) {
	if c.Admitted == nil {
		c.Admitted, c.Refused = map[int]int64{}, map[Reason]map[int]int64{}
	}
	if d.Admitted {
		c.Admitted[priority]++
		return
	}
	if c.Refused[d.Reason] == nil {
		c.Refused[d.Reason] = map[int]int64{}
	}
	c.Refused[d.Reason][priority]++
}

// Share is what is admitted of the requests of one priority, workspace and failure domain.
type Share struct {
	Priority  int     `json:"priority"`
	Workspace string  `json:"workspace,omitempty"`
	Domain    string  `json:"failureDomain,omitempty"`
	Demand    float64 `json:"demand"` // cost per second
	Share     float64 `json:"share"`  // admitted part of it, from 0 to 1
}

// Status is the state of a pool.
type Status struct {
	Limited  bool    `json:"limited"`
	Demand   float64 `json:"demand"`   // cost per second that asks for admission
	Rate     float64 `json:"rate"`     // cost per second that is admitted
	InTime   float64 `json:"inTime"`   // cost per second that is answered in time
	Pressure float64 `json:"pressure"` // evidence of overload in the last window
	Counts
	Shares []Share `json:"shares,omitempty"` // those with the greatest demand
}

// Status returns the state of the pool at now.
func (p *Pool) Status(now time.Time) Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := Status{Limited: p.limited, Demand: p.demand.rate(now), InTime: p.served.rate(now), Pressure: p.pressure}
	s.Admitted, s.Refused = maps.Clone(p.counts.Admitted), map[Reason]map[int]int64{}
	for r, m := range p.counts.Refused {
		s.Refused[r] = maps.Clone(m)
	}
	if !p.limited {
		s.Rate = s.Demand
		return s
	}
	s.Rate = 0
	for _, c := range p.classes {
		for k, f := range c.flows {
			s.Rate += f.share * f.arrivals.rate(now)
			s.Shares = append(s.Shares, Share{Priority: c.priority, Workspace: k.workspace, Domain: k.domain, Demand: f.arrivals.rate(now), Share: f.share})
		}
	}
	slices.SortFunc(s.Shares, func(a, b Share) int { return cmp.Compare(b.Demand, a.Demand) })
	s.Shares = s.Shares[:min(len(s.Shares), maxShares)]
	return s
}

// Admitted returns the part of requests like r that is admitted now, from 0 to 1. It changes
// nothing.
func (p *Pool) Admitted(r Request) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.limited {
		return 1
	}
	i, ok := p.find(r.Priority)
	if !ok {
		return 1
	}
	if f := p.classes[i].flows[flowKey{r.Workspace, r.Domain}]; f != nil {
		return f.share
	}
	return min(p.classes[i].level, 1)
}
