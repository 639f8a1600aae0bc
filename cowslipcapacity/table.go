package cowslipcapacity

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of a Table.
const (
	// minWeight is the least weight of an estimate that is used or passed on.
	minWeight = 3
	// maxAge is the age from which what another instance told is not used.
	maxAge = 5 * time.Second
	// retention is how long a target without samples keeps its row.
	retention = time.Minute
	// minSpeed and maxSpeed bound what an estimate changes.
	minSpeed = 0.1
	maxSpeed = 4
	// speedStep is the least change of a speed, as a ratio, that is published, so that the
	// shares of targets do not swing with each sample.
	speedStep = 1.1
)

// Key identifies one run of a target.
type Key struct{ ID, Incarnation string }

// Estimate is what is known of one run of a target.
type Estimate struct {
	Key
	Latency float64       // while it has a free slot, in multiples of its route's median
	Limit   float64       // requests in flight up to which it does not slow down, 0 if unknown
	Weight  float64       // samples that the estimate rests on, decayed
	Age     time.Duration // since the last sample
}

// Published is the estimate of a target as the choice of replicas uses it.
type Published struct {
	Key
	Speed float64 // relative to the other targets of its service, 1 is average
	Limit int     // 0 if unknown
	// OwnWeight is the weight of the samples that this instance has itself.
	OwnWeight float64
}

// Source is an instance that tells what it has learned.
type Source struct{ ID, FailureDomain string }

// Status is what is known of one run of a target, for operators.
type Status struct {
	Target    string  `json:"target"`
	Speed     float64 `json:"speed"`     // relative to the other targets of its service, 0 if not published yet
	Limit     float64 `json:"limit"`     // requests in flight up to which it does not slow down, 0 if unknown
	Samples   float64 `json:"samples"`   // on which the estimate rests, over all instances, decayed
	AgeMillis int64   `json:"ageMillis"` // since the last sample
}

// told is what another instance told of a target.
type told struct {
	estimate Estimate
	at       time.Time
}

type row struct {
	service   string
	own       Estimator
	others    map[Source]told
	published Published
	usedAt    time.Time
}

// Table holds what is learned about all targets. The zero value is ready to use. It is safe for
// concurrent use.
type Table struct {
	mu   sync.Mutex
	rows map[Key]*row
}

// Observe adds a sample of a target of the given service.
func (t *Table) Observe(service string, k Key, s Sample) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.row(k)
	r.service = service
	r.usedAt = s.At
	r.own.Observe(s)
}

// Knows reports whether the table has a row of the target's run.
func (t *Table) Knows(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[k] != nil
}

// Merge takes over what another instance has learned, in place of what it told before. It
// ignores figures that are out of range and targets that this instance has not used.
func (t *Table) Merge(now time.Time, from Source, l []Estimate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range l {
		r := t.rows[e.Key]
		if r == nil || !valid(e) {
			continue
		}
		if r.others == nil {
			r.others = map[Source]told{}
		}
		r.others[from] = told{estimate: e, at: now}
	}
}

func valid(e Estimate) bool {
	positive := func(v float64) bool { return v > 0 && !math.IsInf(v, 1) }
	return positive(e.Latency) && e.Latency <= maxSampleRatio/minSpeed && positive(e.Weight) && e.Limit >= 0 && !math.IsInf(e.Limit, 1) && e.Age >= 0
}

// Estimates returns what this instance has learned itself together with what the included
// others have told, the best known targets first, at most n.
func (t *Table) Estimates(now time.Time, include func(Source) bool, n int) []Estimate {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []Estimate
	for k, r := range t.rows {
		if e := r.combine(now, include); e.Weight >= minWeight {
			e.Key = k
			l = append(l, e)
		}
	}
	slices.SortFunc(l, func(a, b Estimate) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.ID, b.ID), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return l[:min(n, len(l))]
}

// Publish returns the estimates to be used from now on, and forgets targets that were not used
// for a while. Services with a single known target have none, as speed is relative.
func (t *Table) Publish(now time.Time) []Published {
	t.mu.Lock()
	defer t.mu.Unlock()
	type known struct {
		row *row
		Estimate
	}
	services := map[string][]known{}
	for k, r := range t.rows {
		if now.Sub(r.usedAt) > retention {
			delete(t.rows, k)
			continue
		}
		if e := r.combine(now, everyone); e.Weight >= minWeight && e.Latency > 0 {
			e.Key = k
			services[r.service] = append(services[r.service], known{r, e})
		}
	}
	var l []Published
	for _, m := range services {
		sum := 0.0
		for _, k := range m {
			sum += math.Log(k.Latency)
		}
		usual := math.Exp(sum / float64(len(m)))
		for _, k := range m {
			p := Published{Key: k.Key, Speed: min(max(usual/k.Latency, minSpeed), maxSpeed), Limit: int(k.Limit), OwnWeight: k.row.own.Weight(now)}
			if r := p.Speed / k.row.published.Speed; r < speedStep && r > 1/speedStep {
				p.Speed = k.row.published.Speed
			}
			k.row.published = p
			l = append(l, p)
		}
	}
	return l
}

// Status returns what is known of all targets, the best known ones first.
func (t *Table) Status(now time.Time) []Status {
	l := t.Estimates(now, everyone, math.MaxInt)
	t.mu.Lock()
	defer t.mu.Unlock()
	r := []Status{}
	for _, e := range l {
		s := Status{Target: e.ID, Limit: e.Limit, Samples: math.Round(e.Weight), AgeMillis: e.Age.Milliseconds()}
		if x := t.rows[e.Key]; x != nil {
			s.Speed = x.published.Speed
		}
		r = append(r, s)
	}
	return r
}

func everyone(Source) bool { return true }

// combine returns the mean of the own estimate and those of the included others, by their
// weights.
func (r *row) combine(now time.Time, include func(Source) bool) Estimate {
	var e Estimate
	var latency, limit, limitWeight float64
	add := func(x Estimate) {
		if x.Latency <= 0 || x.Weight <= 0 {
			return
		}
		if e.Weight == 0 || x.Age < e.Age {
			e.Age = x.Age
		}
		e.Weight += x.Weight
		latency += x.Weight * math.Log(x.Latency)
		if x.Limit > 0 {
			limit += x.Weight * x.Limit
			limitWeight += x.Weight
		}
	}
	add(Estimate{Latency: r.own.Latency(), Limit: float64(r.own.Limit()), Weight: r.own.Weight(now), Age: now.Sub(r.own.At())})
	for k, o := range r.others {
		d := now.Sub(o.at)
		if d > maxAge {
			delete(r.others, k)
			continue
		}
		if !include(k) {
			continue
		}
		o.estimate.Weight *= decayFactor(d)
		o.estimate.Age += d
		add(o.estimate)
	}
	if e.Weight > 0 {
		e.Latency = math.Exp(latency / e.Weight)
	}
	if limitWeight > 0 {
		e.Limit = math.Round(limit / limitWeight)
	}
	return e
}

func (t *Table) row(k Key) *row {
	r := t.rows[k]
	if r == nil {
		if t.rows == nil {
			t.rows = map[Key]*row{}
		}
		r = &row{}
		t.rows[k] = r
	}
	return r
}
