package cowslipcontrol

import (
	"fmt"
	"math"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
)

// The course of a move, in shares of the time from its start to its end.
const (
	rampStart          = 0.2  // the canary's evidence is gathered before
	rampEnd            = 0.7  // all traffic goes to the new version from here
	earliestDone       = 0.9  // the outcome is recorded from here
	lowTrafficStart    = 0.8  // a route with fewer than rareRequests moves without evidence of its own from here
	lowTrafficRequests = 60   // of the old version
	evidenceDeadline   = 0.95 // a route with traffic but no evidence by now ends the move
	initialShare       = 0.02 // share of the new version when its ramp starts
	doublingPeriod     = 0.02 // a route whose evidence came late doubles its share this often
)

// move is a row of the table of moves.
type move struct {
	config        cowslipconfig.Move
	start         time.Time
	localEvidence map[evidenceKey]counts
	routes        map[string]*moveRoute
	history       []evidenceSnapshot
	baseline      map[evidenceKey]baseline   // of the old version
	comparisons   map[evidenceKey]comparison // of the new version
	sendsCanary   bool
	isJudge       bool   // this instance judges the evidence
	reported      string // the last state put on the time line
}

// moveRoute is what a move knows of one route.
type moveRoute struct {
	evidenceAt time.Time // when the canary's evidence sufficed, zero before
}

// applyMoves brings the table of moves in line with the configuration.
func (c *Control) applyMoves() {
	var n []move
	for _, m := range c.config.Moves() {
		n = append(n, c.existingOrNewMove(m))
	}
	c.moves = n
}

func (c *Control) existingOrNewMove(m cowslipconfig.Move) move {
	for i := range c.moves {
		if c.moves[i].config.ID() == m.ID() {
			return c.moves[i]
		}
	}
	start := c.accepted.MoveStarts[m.ID()]
	if m.Within() > 0 {
		start = c.ticked
	}
	c.o.Event("moveStarted", m.ID(), "by "+m.End(start).UTC().Format(time.RFC3339))
	return move{config: m, start: start, localEvidence: map[evidenceKey]counts{}, baseline: map[evidenceKey]baseline{}, comparisons: map[evidenceKey]comparison{}, routes: map[string]*moveRoute{}}
}

// runMoves judges the evidence of each move and decides its share and outcome.
func (c *Control) runMoves(now time.Time) {
	for i := range c.moves {
		m := &c.moves[i]
		c.assignRoles(now, m)
		if !m.isJudge {
			c.followMove(m)
			continue
		}
		fresh := c.poolEvidence(now, m)
		if c.outcomes[m.config.ID()] != nil {
			if fresh {
				c.monitorCompleted(now, m)
			}
			continue
		}
		if fresh && c.stops[m.config.ID()] == nil {
			c.evaluate(now, m)
		}
		c.requestOutcome(now, m)
	}
}

func (c *Control) markMove(m *move) {
	c.markService(m.config.Service())
}

// evaluate stops the move if its new version is at fault on any route, and notes
// the routes whose evidence suffices.
func (c *Control) evaluate(now time.Time, m *move) {
	if r := c.fault(now, m); r != "" {
		c.stop(m, r)
		return
	}
	f := m.progress(now)
	for name, n := range m.byRoute(m.config.To()) {
		r := m.route(name)
		if r.evidenceAt.IsZero() && n.requests >= requiredEvidence(f) && float64(n.errors) <= errorRateFloor*float64(n.requests) {
			r.evidenceAt = now
			c.markMove(m)
		}
	}
	if f >= lowTrafficStart {
		c.openLowTrafficRoutes(now, m)
	}
	if len(m.routes) > 0 && f >= rampStart {
		c.markMove(m)
	}
}

// openLowTrafficRoutes opens the ramps of routes with too little traffic for any
// evidence, if the version has proved itself on another route.
func (c *Control) openLowTrafficRoutes(now time.Time, m *move) {
	proven := m.proven()
	old := m.byRoute(m.config.From())
	for n, r := range m.routes {
		if proven && r.evidenceAt.IsZero() && old[n].requests < lowTrafficRequests {
			r.evidenceAt = now
		}
	}
}

// proven tells whether the canary's evidence sufficed on any route.
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

// requiredEvidence is the number of good requests that open a route's ramp; less
// suffices as the end of the move comes near, so that a good version is done
// in time at low traffic too.
func requiredEvidence(progress float64) uint64 {
	switch {
	case progress < 0.5:
		return 20
	case progress < 0.7:
		return 5
	}
	return 1
}

func (m *move) duration() time.Duration { return m.config.End(m.start).Sub(m.start) }

// progress runs from 0 at the move's start to 1 at its end.
func (m *move) progress(now time.Time) float64 {
	d := m.duration()
	if d <= 0 {
		return 1
	}
	return min(max(now.Sub(m.start).Seconds()/d.Seconds(), 0), 1)
}

// share is the new version's share of a route's requests.
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
	c.effects.Push = true
	c.markMove(m)
}

// requestOutcome asks for the outcome to be recorded once there is one. It asks again
// each tick until the record is known, since the platform may be away.
func (c *Control) requestOutcome(now time.Time, m *move) {
	id := m.config.ID()
	if s := c.stops[id]; s != nil {
		c.effects.Outcomes = append(c.effects.Outcomes, &cowslipmessage.Outcome{Move: id, Reason: s.GetReason(), By: c.o.ID})
		return
	}
	f := m.progress(now)
	late := false
	for _, r := range m.routes {
		late = late || r.evidenceAt.IsZero() || m.share(now, r) < 1
	}
	switch {
	case late && f >= evidenceDeadline:
		c.stop(m, "not all routes moved in time")
	case !late && f >= earliestDone:
		c.effects.Outcomes = append(c.effects.Outcomes, &cowslipmessage.Outcome{Move: id, Done: true, Reason: "all routes moved", By: c.o.ID})
	}
}

// monitorCompleted goes on judging a version that took over, for the operators.
func (c *Control) monitorCompleted(now time.Time, m *move) {
	if !c.outcomes[m.config.ID()].GetDone() || m.reported == "fault" {
		return
	}
	if r := c.fault(now, m); r != "" {
		m.reported = "fault"
		c.o.Event("faultAfterMove", m.config.ID(), r)
	}
}

// Outcome handles the recorded end of a move, from wherever it is learned. The
// instance whose record it is reports it, also if the platform's answer to its
// write was lost.
func (c *Control) Outcome(o *cowslipmessage.Outcome) {
	if c.outcomes[o.GetMove()] != nil {
		return
	}
	won := o.GetBy() == c.o.ID
	if !won && c.o.Listed {
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
			c.markMove(&c.moves[i])
		}
	}
}

// moveView is a service's move as requests see it.
func (c *Control) moveView(now time.Time, name string) *cowsliproute.MoveView {
	for i := range c.moves {
		m := &c.moves[i]
		if m.config.Service() != name {
			continue
		}
		v := &cowsliproute.MoveView{ID: m.config.ID(), From: m.config.From(), To: m.config.To(), Canary: m.sendsCanary, Busy: c.services[name].canary, Share: map[string]float64{}}
		o := c.outcomes[m.config.ID()]
		v.Done = o.GetDone()
		v.Canary = v.Canary && !c.exposureExhausted(m)
		v.Stopped = !v.Done && (o != nil || c.stops[m.config.ID()] != nil)
		for n, r := range m.routes {
			switch {
			case r.evidenceAt.IsZero():
			case c.exposureExhausted(m):
				v.Share[n] = 0
			default:
				v.Share[n] = m.share(now, r)
			}
		}
		return v
	}
	return nil
}

// MoveReport is a move as operators see it.
type MoveReport struct {
	ID      string             `json:"id"`
	Service string             `json:"service"`
	From    string             `json:"from"`
	To      string             `json:"to"`
	By      time.Time          `json:"by"`
	State   string             `json:"state"` // canary, moving, stopped, done or takenBack
	Reason  string             `json:"reason,omitempty"`
	Share   map[string]float64 `json:"share"`
}

// Moves reports the moves of the configuration in force.
func (c *Control) Moves(now time.Time) []MoveReport {
	r := []MoveReport{}
	for i := range c.moves {
		m := &c.moves[i]
		id := m.config.ID()
		x := MoveReport{ID: id, Service: m.config.Service(), From: m.config.From(), To: m.config.To(), By: m.config.End(m.start), State: "canary", Share: map[string]float64{}}
		for n, r := range m.routes {
			x.Share[n] = 0
			if !r.evidenceAt.IsZero() {
				x.Share[n] = m.share(now, r)
				x.State = "moving"
			}
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
