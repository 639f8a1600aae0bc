// Package cowslipguard decides how wide requests are sent while some of them crash targets.
// It opens no socket, starts no goroutine and reads no clock.
package cowslipguard

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// AlertTime is how long a guard stays alert after the last loss.
	AlertTime = time.Minute
	// SuspectedAlertTime is how long a guard stays alert after a loss that is only suspected. By then
	// its cause shows, or the store does.
	SuspectedAlertTime = 3 * time.Second
	// MaxContents bounds the contents that a guard knows as answered, and those it knows as lost.
	MaxContents = 4096
	// ResendWait is how long a request is refused after a target broke it off. Callers send a
	// request that failed again within tenths of a second, which would cost a second target.
	ResendWait = time.Second
	// coverageTolerance absorbs rounding errors in the required number of shards.
	coverageTolerance = 1e-9
)

// Guard decides for the wide requests to one set of shards. The zero value is calm. It is safe
// for concurrent use.
type Guard struct {
	mu       sync.Mutex
	since    time.Time // when the alert began
	until    time.Time // when the alert ends
	certain  time.Time // until when it lasts for losses that are more than suspected
	answered contents  // answered in full since the alert began
	lost     contents  // broken off since the alert began
}

// Loss is a target that crashed under a wide request.
type Loss struct {
	Age     time.Duration // time since the target broke off the request
	Request uint64        // identifies the request by all but its caller
	// Excused is set if a target has answered the request lately. It probably only shared the
	// target with one that crashes targets, and may be sent again at once.
	Excused bool
	// Suspected is set while an answer of another target may still show that the request did not
	// crash this one.
	Suspected bool
}

// Plan is how a wide request is sent.
type Plan struct {
	Alert  bool          // targets have crashed lately
	Probes []int         // shards of which one is asked first, in order of preference; none if all are asked at once
	Wait   time.Duration // refuse the request, which may come again after this time; 0 to send it
}

// Loss records a loss. It reports whether the guard was calm.
func (g *Guard) Loss(now time.Time, l Loss) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at := now.Add(-max(l.Age, 0))
	if now.Sub(at) >= AlertTime {
		return false
	}
	began := !g.alert(now)
	if began {
		g.since, g.until, g.certain, g.answered, g.lost = at, time.Time{}, time.Time{}, contents{}, contents{}
	}
	d := AlertTime
	if l.Suspected {
		d = SuspectedAlertTime
	}
	if u := at.Add(d); u.After(g.until) {
		g.until = u
	}
	if u := at.Add(d); !l.Suspected && u.After(g.certain) {
		g.certain = u
	}
	g.answered.remove(l.Request)
	if !l.Excused {
		g.lost.add(l.Request, at)
	}
	return began
}

// Answered records that all shards have answered a request that was sent at the given time.
func (g *Guard) Answered(sent time.Time, request uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.alert(sent) && !sent.Before(g.since) && !sent.Before(g.lost.last(request)) {
		g.answered.add(request, sent)
	}
}

// Alert reports whether targets have crashed lately.
func (g *Guard) Alert(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.alert(now)
}

// Certain reports whether targets have crashed lately, by more than a suspicion.
func (g *Guard) Certain(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return now.Before(g.certain)
}

// Plan returns how a request with the given request is sent to the named shards. The share
// minCoverage of them must answer.
func (g *Guard) Plan(now time.Time, request uint64, shards []string, minCoverage float64) Plan {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.alert(now) {
		return Plan{}
	}
	p := Plan{Alert: true}
	if g.answered.has(request) {
		return p
	}
	p.Probes = ProbeShards(request, shards, minCoverage)
	if t := g.lost.last(request); !t.IsZero() {
		p.Wait = max(t.Add(ResendWait).Sub(now), 0)
	}
	return p
}

func (g *Guard) alert(now time.Time) bool { return now.Before(g.until) }

// end returns when the alert ends.
func (g *Guard) end() time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.until
}

// merge adds what another guard knows.
func (g *Guard) merge(o *Guard) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.until.After(g.until) {
		g.since, g.until, g.certain, g.answered, g.lost = o.since, o.until, o.certain, o.answered, o.lost
	}
}

// ProbeShards returns the indices of the shards that are asked first for requests that may crash
// targets: as many as answers may miss, but at least one. All instances choose the same ones, as
// their names alone decide, and so few targets crash. The first one depends on the request.
func ProbeShards(request uint64, shards []string, minCoverage float64) []int {
	if len(shards) == 0 {
		return nil
	}
	l := make([]int, len(shards))
	ranks := make([]uint64, len(shards))
	for i, s := range shards {
		l[i], ranks[i] = i, xxhash.Sum64String(s)
	}
	slices.SortFunc(l, func(a, b int) int {
		return cmp.Or(cmp.Compare(ranks[b], ranks[a]), cmp.Compare(shards[a], shards[b]))
	})
	needed := int(math.Ceil(minCoverage*float64(len(shards)) - coverageTolerance))
	n := min(max(len(shards)-needed, 1), len(shards))
	first := int(request % uint64(n))
	return slices.Concat(l[first:n], l[:first])
}
