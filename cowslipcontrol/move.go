package cowslipcontrol

import (
	"fmt"
	"maps"
	"math"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
)

// Schedule of a move. All values except lowTrafficRequests and initialShare are
// fractions of the time from the start of the move to its end.
const (
	rampStart          = 0.2  // until here the planned share stays at initialShare while evidence is gathered
	rampEnd            = 0.7  // from here the planned share of the new version is 1
	earliestDone       = 0.9  // from here the move may be recorded as done
	earliestDoneByFew  = 0.93 // likewise, if a route has had few requests to the new version lately, each of which tells more
	lowTrafficStart    = 0.8  // from here a route with fewer than lowTrafficRequests may move without evidence of its own
	lowTrafficRequests = 60   // requests to the old version on that route
	evidenceDeadline   = 0.95 // from here the move is stopped if a route with traffic lacks evidence or has not fully moved, or its version is in doubt
	initialShare       = 0.02 // the new version's share of a route's requests when the ramp starts
	doublingPeriod     = 0.02 // period in which the share of a route whose evidence came late doubles
)

// recordLag is how much earlier than this instance another one may have learned of a move and
// recorded it as done.
const recordLag = 3 * time.Second

// move is a row of the table of moves. The evidence of a move is the counts of its
// service's requests by version, route and failure domain.
type move struct {
	config        cowslipconfig.Move
	start         time.Time
	localEvidence map[evidenceKey]counts // of the requests that this instance sent
	routes        map[string]*moveRoute
	history       []evidenceSnapshot         // the last snapshotCount, oldest first
	checkpoints   []checkpoint               // the last checkpointCount, oldest first
	baseline      map[evidenceKey]baseline   // of the old version
	comparisons   map[evidenceKey]comparison // of the new version
	sendsCanary   bool                       // this instance sends the canary requests
	isJudge       bool                       // this instance pools and evaluates the evidence
	doubt         string                     // why the move may not be recorded as done yet, by the last snapshot
	held          string                     // the doubt that was last reported as an event
	oldSeenAt     time.Time                  // when a target of the old version was last in use
	oldGone       bool                       // the old version is gone, and the new one has targets
	reported      string                     // "fault" once a fault after the move was reported as an event
}

// moveRoute is the state of a move on one route.
type moveRoute struct {
	evidenceAt time.Time // when the route had enough evidence to start its ramp, zero before
}

// applyMoves updates the table of moves to match the configuration. A move that
// is still configured keeps its row, and the evidence of departed peers.
func (c *Control) applyMoves() {
	var n []move
	configured := map[string]bool{}
	for _, m := range c.config.Moves() {
		n = append(n, c.existingOrNewMove(m))
		configured[m.ID()] = true
	}
	c.moves = n
	c.readmitOrdered()
	maps.DeleteFunc(c.departedCounts, func(_ string, l map[evidenceKey]counts) bool {
		maps.DeleteFunc(l, func(k evidenceKey, _ counts) bool { return !configured[k.move] })
		return len(l) == 0
	})
}

func (c *Control) existingOrNewMove(m cowslipconfig.Move) move {
	for i := range c.moves {
		if c.moves[i].config.ID() == m.ID() {
			return c.moves[i]
		}
	}
	if r, ok := c.reorderedMove(m); ok {
		return r
	}
	start := c.accepted.MoveStarts[m.ID()]
	if m.Within() > 0 {
		start = c.lastTick
	}
	c.o.Event("moveStarted", m.ID(), "by "+m.Deadline(start).UTC().Format(time.RFC3339))
	return move{config: m, start: start, localEvidence: map[evidenceKey]counts{}, baseline: map[evidenceKey]baseline{}, comparisons: map[evidenceKey]comparison{}, routes: map[string]*moveRoute{}}
}

// runMoves evaluates each move that this instance judges and requests that its
// outcome be recorded. For all moves under way it publishes the traffic share, which
// changes with time.
func (c *Control) runMoves(now time.Time) {
	for i := range c.moves {
		m := &c.moves[i]
		c.assignRoles(now, m)
		c.trackOldVersion(now, m)
		c.publishShare(m)
		c.restoreRecord(now, m)
		if !m.isJudge {
			continue
		}
		fresh := c.poolEvidence(now, m)
		if c.outcomes[m.config.ID()] != nil {
			if fresh {
				c.monitorCompleted(now, m)
			}
			continue
		}
		if !c.mayDecide(now, m) {
			continue
		}
		if fresh && c.stops[m.config.ID()] == nil {
			c.evaluate(now, m)
		}
		c.requestOutcome(now, m)
	}
}

func (c *Control) markMove(m *move) {
	c.markServiceDirty(m.config.Service())
}

// evaluate stops the move if its new version is at fault. Otherwise it starts
// the ramp of each route whose new version has answered enough requests, and failed no
// more of them than a version with an error rate of errorRateFloor may.
func (c *Control) evaluate(now time.Time, m *move) {
	if r := c.fault(now, m); r != "" {
		c.stop(m, r)
		return
	}
	f := m.progress(now)
	for name, n := range m.byRoute(m.config.To()) {
		r := m.route(name)
		e := binomialTest{bad: n.errors, total: n.requests, rateFloor: errorRateFloor}
		if r.evidenceAt.IsZero() && n.requests >= c.requiredEvidence(m, f) && !e.significant(doubtThreshold.level) {
			r.evidenceAt = now
			c.markMove(m)
		}
	}
	if f >= lowTrafficStart || c.exposure(m).bounded {
		c.openLowTrafficRoutes(now, m)
	}
	m.doubt = c.doubt(now, m)
}

// openLowTrafficRoutes starts the ramp of routes that have too little traffic to
// gather evidence, provided that another route has enough evidence. Where the sum of the requests
// to the new version is bounded, these routes may start early, as they hardly add to it.
func (c *Control) openLowTrafficRoutes(now time.Time, m *move) {
	proven := m.proven()
	old, all := m.byRoute(m.config.From()), m.requestsByRoute()
	late := m.progress(now) >= lowTrafficStart
	for n, r := range m.routes {
		low := late && old[n].requests < lowTrafficRequests || !late && m.hasLowTraffic(now, float64(all[n]))
		if proven && r.evidenceAt.IsZero() && low {
			r.evidenceAt = now
			c.markMove(m)
		}
	}
}

// proven reports whether any route has had enough evidence to start its ramp.
func (m *move) proven() bool {
	for _, r := range m.routes {
		if !r.evidenceAt.IsZero() {
			return true
		}
	}
	return false
}

func (m *move) route(name string) *moveRoute {
	r := m.routes[name]
	if r == nil {
		r = &moveRoute{}
		m.routes[name] = r
	}
	return r
}

// requiredEvidence returns the number of requests to the new version that a
// route needs before its ramp starts. The number falls as the end of the move
// approaches, so that a good version completes in time even at low traffic. It is low where the
// sum of the requests to the new version is bounded: the evidence comes after that.
func (c *Control) requiredEvidence(m *move, progress float64) uint64 {
	switch {
	case m.oldGone:
		return c.neededBySuccessor()
	case progress < 0.5 && !c.exposure(m).bounded:
		return 20
	case progress < 0.7:
		return 5
	}
	return 1
}

func (m *move) duration() time.Duration { return m.config.Deadline(m.start).Sub(m.start) }

// progress returns the elapsed fraction of the move's duration, from 0 to 1.
func (m *move) progress(now time.Time) float64 {
	d := m.duration()
	if d <= 0 {
		return 1
	}
	return min(max(now.Sub(m.start).Seconds()/d.Seconds(), 0), 1)
}

// share returns the new version's share of a route's requests: the planned
// linear ramp, or exponential growth since the route had enough evidence,
// whichever is smaller.
func (m *move) share(now time.Time, r *moveRoute) float64 {
	f := m.progress(now)
	plan := initialShare + (1-initialShare)*(f-rampStart)/(rampEnd-rampStart)
	if f < rampStart {
		plan = initialShare
	}
	d := m.duration().Seconds() * doublingPeriod
	grown := initialShare * math.Exp2(now.Sub(r.evidenceAt).Seconds()/max(d, 1e-3))
	return min(plan, grown, 1)
}

func (c *Control) stop(m *move, reason string) {
	id := m.config.ID()
	c.stops[id] = &cowslipmessage.Stop{Move: id, Reason: reason, By: c.o.ID}
	c.o.Event("moveStopped", id, reason)
	c.withdraw(c.lastTick, m.config)
	c.effects.Push = true
	c.markMove(m)
}

// requestOutcome asks for the outcome of the move to be recorded once it is
// decided. It repeats the request every tick until the recorded outcome is
// received, since the platform may be unreachable.
func (c *Control) requestOutcome(now time.Time, m *move) {
	id := m.config.ID()
	if s := c.stops[id]; s != nil {
		c.requestRecord(&cowslipmessage.Outcome{Move: id, Reason: s.GetReason(), By: c.o.ID})
		return
	}
	f := m.progress(now)
	late := false
	for _, r := range m.routes {
		late = late || r.evidenceAt.IsZero() || m.share(now, r) < 1
	}
	switch {
	case f < m.earliestDone() || late && f < evidenceDeadline:
	case late:
		c.stop(m, "not all routes moved in time")
	case m.doubt == "":
		c.requestRecord(&cowslipmessage.Outcome{Move: id, Done: true, Reason: "all routes moved", By: c.o.ID})
	case f < evidenceDeadline:
		if m.held != m.doubt {
			m.held = m.doubt
			c.o.Event("moveHeld", id, m.doubt)
		}
	default:
		// Evidence of other instances that is missing is no doubt any longer.
		if m.doubt = c.doubt(now, m); m.doubt != "" {
			c.stop(m, "not shown to be good in time: "+m.doubt)
		}
	}
}

// earliestDone returns the fraction of its time from which the move may be recorded as done.
func (m *move) earliestDone() float64 {
	since, _ := m.checkpointAgo(halfAgo)
	recent := map[string]uint64{}
	for k, x := range m.comparisons {
		recent[k.route] += x.requests - since.comparisons[k].requests
	}
	for route := range m.routes {
		if recent[route] < lowTrafficRequests {
			return earliestDoneByFew
		}
	}
	return earliestDone
}

// monitorCompleted continues to evaluate a version after its move is done. It
// reports the first fault to the operators and does not change the traffic.
func (c *Control) monitorCompleted(now time.Time, m *move) {
	if !c.outcomes[m.config.ID()].GetDone() || m.reported == "fault" {
		return
	}
	if r := c.fault(now, m); r != "" {
		m.reported = "fault"
		c.o.Event("faultAfterMove", m.config.ID(), r)
	}
}

// Outcome handles the recorded outcome of a move, whether it was learned from
// the platform or a peer. The instance that wrote the record reports moveDone or
// moveTakenBack, even if the platform's response to its write was lost. With
// Options.ListOnly, the others report moveEnded.
func (c *Control) Outcome(o *cowslipmessage.Outcome) {
	if c.outcomes[o.GetMove()] != nil {
		return
	}
	won := o.GetBy() == c.o.ID
	if !won && c.o.ListOnly {
		c.o.Event("moveEnded", o.GetMove(), fmt.Sprintf("done: %v", o.GetDone()))
	}
	c.outcomes[o.GetMove()] = o
	c.effects.Push = true
	switch {
	case won && o.GetDone():
		c.o.Event("moveDone", o.GetMove(), o.GetReason())
	case won:
		c.o.Event("moveTakenBack", o.GetMove(), o.GetReason())
	}
	for i := range c.moves {
		if c.moves[i].config.ID() == o.GetMove() {
			if o.GetDone() {
				c.readmit(versionKey{c.moves[i].config.Service(), c.moves[i].config.To()})
			} else {
				c.withdraw(c.lastTick, c.moves[i].config)
			}
			c.markMove(&c.moves[i])
		}
	}
}

// moveView returns the move of a service in the form that requests use, nil if
// the service has none.
func (c *Control) moveView(now time.Time, name string) *cowsliproute.MoveView {
	for i := range c.moves {
		m := &c.moves[i]
		if m.config.Service() != name {
			continue
		}
		v := &cowsliproute.MoveView{ID: m.config.ID(), From: m.config.From(), To: m.config.To(), Canary: m.sendsCanary, CanaryInFlight: c.services[name].canary}
		o := c.outcomes[m.config.ID()]
		v.Done = o.GetDone()
		v.Canary = v.Canary && c.exposure(m).allowsCanary(m.progress(now))
		v.Stopped = !v.Done && (o != nil || c.stops[m.config.ID()] != nil)
		v.Ending = o == nil && m.progress(now.Add(recordLag)) >= earliestDone
		v.OldGone = m.oldGone
		v.MayTry = c.exposure(m).mayTry()
		p := c.plan(now, m)
		if v.RouteShares = p.Shares; p.Load {
			v.LoadTarget = c.loadTarget(now, m)
		}
		return v
	}
	return nil
}

// MoveReport describes a move to operators.
type MoveReport struct {
	ID      string             `json:"id"`
	Service string             `json:"service"`
	From    string             `json:"from"`
	To      string             `json:"to"`
	By      time.Time          `json:"by"`
	State   string             `json:"state"` // canary, moving, stopped, done or takenBack
	Reason  string             `json:"reason,omitempty"`
	Share   map[string]float64 `json:"share"` // the new version's share of the requests, by route
}

// Moves reports the moves of the configuration in force.
func (c *Control) Moves(now time.Time) []MoveReport {
	r := []MoveReport{}
	for i := range c.moves {
		m := &c.moves[i]
		id := m.config.ID()
		x := MoveReport{ID: id, Service: m.config.Service(), From: m.config.From(), To: m.config.To(), By: m.config.Deadline(m.start), State: "canary", Share: map[string]float64{}}
		p := c.plan(now, m)
		for n := range m.routes {
			x.Share[n] = p.Shares[n]
		}
		if len(p.Shares) > 0 {
			x.State = "moving"
		}
		o, s := c.outcomes[id], c.stops[id]
		switch {
		case o.GetDone():
			x.State, x.Reason = "done", o.GetReason()
		case o != nil:
			x.State, x.Reason = "takenBack", o.GetReason()
		case s != nil:
			x.State, x.Reason = "stopped", s.GetReason()
		}
		for n := range x.Share {
			switch x.State {
			case "done":
				x.Share[n] = 1
			case "takenBack", "stopped":
				x.Share[n] = 0
			}
		}
		r = append(r, x)
	}
	return r
}
