package cowslipusage

import (
	"encoding/json"
	"time"

	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
)

// Constants of a Duty. Those named Divisor divide the time of the lease.
const (
	// renewDivisor sets the interval of renewals. Two may fail before the lease ends.
	renewDivisor = 3
	// retryDivisor sets the interval between renewals that fail.
	retryDivisor = 10
	// marginDivisor sets how long before its end a lease no longer counts as in force.
	// It covers different rates of two clocks, and a call that is just being sent.
	marginDivisor = 10
	// acquireDivisor limits the time from the call that grants the lease to the one that
	// creates the key, so that the key lives for most of the lease.
	acquireDivisor = 3
	// staggerDivisor sets how much later than the candidate before it a candidate tries.
	staggerDivisor = 3
	// retakeLeases is how many leases an instance that lost the duty waits before it
	// takes it again, so that the holder does not alternate.
	retakeLeases = 2
	// alternateTime is how long an instance that held the duty, or may have held it in an
	// earlier process, counts as the one before the present holder. A holder whose calls
	// do not arrive for longer than that has dropped its windows.
	alternateTime = maxReportAge
	// maxTickGap is the time between two ticks from which on the process counts as having
	// been suspended.
	maxTickGap = 250 * time.Millisecond
)

// tokenEraBits is the number of bits of a token below its era.
const tokenEraBits = 40

// Token returns the token of a holder whose key was created at a revision. It rises with the era
// of the store, in which revisions are given out again.
func Token(r cowslipplatform.Revision) uint64 { return r.Era()<<tokenEraBits + r.Number() }

// Holder is the value of HolderKey.
type Holder struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Addr        string `json:"addr"` // for its peers
}

// Seen is what an instance's copy of the store shows.
type Seen struct {
	Holder string // ID of the holder, empty if there is none
	Rank   int    // of the instance among the candidates, from 0; -1 if it is none
}

// dutyState is the state of a Duty.
type dutyState int

const (
	idle     dutyState = iota
	granted            // has a lease for the key
	doubtful           // it is unknown whether the key was created
	holding
)

// Duty decides when an instance takes and holds the duty to report. It has at most one call
// in flight. All times are on the process's own clock, which counts suspensions. Create it
// with NewDuty. It is not safe for concurrent use.
type Duty struct {
	lease time.Duration
	self  Holder
	data  []byte // self, as stored
	event func(kind, detail string)

	began      time.Time // of the process
	lostAt     time.Time // zero if the process never lost the duty
	lastHolder string    // the last one that was seen

	state     dutyState
	busy      Action
	startedAt time.Time // of the call in flight
	id        cowslipplatform.Lease
	grantedAt time.Time // when the call that granted it began
	until     time.Time // the lease is certainly in force before
	renewAt   time.Time // of the next call that renews the lease, or reads the key
	token     uint64
	heldSince time.Time
	vacant    time.Time // since when the store is seen to have no holder, zero if it has one
	notBefore time.Time // of the next attempt to take the duty
	tickedAt  time.Time
	unsureAt  time.Time // a renewal that began after it must succeed before the holder acts, zero if none
}

// NewDuty returns the duty of a process that starts at now. Event, if not nil, is called when
// the duty is taken or lost.
func NewDuty(self Holder, lease time.Duration, now time.Time, event func(kind, detail string)) *Duty {
	if event == nil {
		event = func(string, string) {}
	}
	// Marshaling a struct of strings cannot fail.
	b, _ := json.Marshal(self)
	return &Duty{lease: lease, self: self, data: b, event: event, began: now}
}

// Next returns the call to make now, None if there is none.
func (d *Duty) Next(now time.Time, s Seen) Action {
	d.Tick(now)
	if d.busy.Kind != None {
		return Action{}
	}
	a := d.next(now, s)
	d.busy, d.startedAt = a, now
	return a
}

func (d *Duty) next(now time.Time, s Seen) Action {
	switch d.state {
	case granted:
		if now.Sub(d.grantedAt) > d.lease/acquireDivisor {
			d.giveUp(now)
			return Action{Kind: Revoke, Lease: d.id}
		}
		return Action{Kind: Put, Key: HolderKey, Data: d.data, Lease: d.id}
	case doubtful:
		if now.Sub(d.grantedAt) > d.lease/2 {
			d.giveUp(now)
			return Action{}
		}
		if now.Before(d.renewAt) {
			return Action{}
		}
		return Action{Kind: Get, Key: HolderKey}
	case holding:
		if !now.Before(d.renewAt) {
			return Action{Kind: KeepAlive, Lease: d.id}
		}
		return Action{}
	}
	if s.Holder != "" {
		d.lastHolder, d.vacant = s.Holder, time.Time{}
		return Action{}
	}
	if s.Rank < 0 {
		return Action{}
	}
	if d.vacant.IsZero() {
		d.vacant = now
	}
	wait := time.Duration(s.Rank) * d.lease / staggerDivisor
	if d.mayAlternate(now) {
		wait += d.lease
	}
	if now.Before(d.notBefore) || now.Sub(d.vacant) < wait {
		return Action{}
	}
	d.grantedAt = now
	return Action{Kind: Grant, TTL: d.lease}
}

// mayAlternate reports whether the instance may have been the holder before the last one.
// It then waits for a lease after that one's key has gone: the last one may have called the
// platform for the first time just before, so that the holder would change back at once.
func (d *Duty) mayAlternate(now time.Time) bool {
	if !d.lostAt.IsZero() && now.Sub(d.lostAt) < alternateTime {
		return true
	}
	return now.Sub(d.began) < alternateTime && d.lastHolder != d.self.ID
}

// Done handles the result of the call that Next returned.
func (d *Duty) Done(now time.Time, r Result) {
	a := d.busy
	d.busy = Action{}
	d.Tick(now)
	switch a.Kind {
	case Grant:
		if r.Err != nil {
			d.giveUp(now)
			return
		}
		d.state, d.id = granted, r.Lease
	case Put:
		d.created(now, r)
	case Get:
		d.read(now, r)
	case KeepAlive:
		d.renewed(now, r)
	}
}

func (d *Duty) created(now time.Time, r Result) {
	switch {
	case r.Err == nil:
		d.take(now, Token(r.Revision))
	case errors.Is(r.Err, cowslipplatform.ErrConflict), errors.Is(r.Err, cowslipplatform.ErrLeaseExpired):
		d.giveUp(now)
	default:
		d.state, d.renewAt = doubtful, now
	}
}

// read handles the value of the key after a call that may have created it. Attempts are
// further apart than the lease, so that a value of this process is of the last attempt.
func (d *Duty) read(now time.Time, r Result) {
	var h Holder
	switch {
	case errors.Is(r.Err, cowslipplatform.ErrNotFound):
		d.giveUp(now)
	case r.Err != nil:
		d.renewAt = now.Add(d.lease / retryDivisor)
	case json.Unmarshal(r.Value.Data, &h) == nil && h == d.self:
		d.take(now, Token(r.Value.Revision))
	default:
		d.giveUp(now)
	}
}

func (d *Duty) take(now time.Time, token uint64) {
	d.state, d.token, d.heldSince = holding, token, now
	d.extend(d.grantedAt)
	if !now.Before(d.until) {
		d.lose(now, "the lease ended before the store answered")
		return
	}
	d.event("usageDutyTaken", "this instance reports usage")
}

func (d *Duty) renewed(now time.Time, r Result) {
	if d.state != holding {
		return
	}
	switch {
	case errors.Is(r.Err, cowslipplatform.ErrLeaseExpired):
		d.lose(now, "the lease has expired")
	case r.Err != nil:
		d.renewAt = now.Add(d.lease / retryDivisor)
	default:
		d.extend(d.startedAt)
		if !d.startedAt.Before(d.unsureAt) {
			d.unsureAt = time.Time{}
		}
		if !d.unsureAt.IsZero() {
			d.renewAt = now
		}
	}
}

// extend notes that the lease was renewed by a call that began at a time.
func (d *Duty) extend(began time.Time) {
	d.until = began.Add(d.lease - d.lease/marginDivisor)
	d.renewAt = began.Add(d.lease / renewDivisor)
}

// giveUp ends an attempt to take the duty. The next one begins after the lease of this one
// has ended, so that a key that the store still creates is not taken for that of the next.
func (d *Duty) giveUp(now time.Time) {
	d.state = idle
	d.vacant = time.Time{}
	d.notBefore = now.Add(d.lease + d.lease/marginDivisor)
}

func (d *Duty) lose(now time.Time, reason string) {
	d.state = idle
	d.vacant = time.Time{}
	d.notBefore, d.lostAt = now.Add(retakeLeases*d.lease), now
	d.event("usageDutyLost", reason)
}

// EraBegan handles that the store has come back from an older copy, which may lack the key of the
// holder. The holder gives up. The others wait for a lease, after which it has noticed in any case.
func (d *Duty) EraBegan(now time.Time) {
	if d.state == holding {
		d.lose(now, "the store has come back from an older copy")
		return
	}
	if n := now.Add(d.lease + d.lease/marginDivisor); d.notBefore.Before(n) {
		d.notBefore = n
	}
}

// Tick notices a suspension of the process and the end of the lease. It reports whether a
// call to the platform may go on. Tick must be called several times within maxTickGap.
func (d *Duty) Tick(now time.Time) bool {
	if !d.tickedAt.IsZero() && now.Sub(d.tickedAt) > maxTickGap && d.state == holding {
		d.Doubt(now)
	}
	d.tickedAt = now
	if d.state == holding && !now.Before(d.until) {
		d.lose(now, "the lease could not be renewed in time")
	}
	return d.MayAct(now)
}

// Doubt makes the holder renew its lease before it acts again, as after a call that failed.
func (d *Duty) Doubt(now time.Time) {
	d.unsureAt = now
	if d.renewAt.After(now) {
		d.renewAt = now
	}
}

// MayAct reports whether the instance certainly holds the duty.
func (d *Duty) MayAct(now time.Time) bool {
	return d.state == holding && now.Before(d.until) && d.unsureAt.IsZero()
}

// Holds reports whether the instance holds the duty, as far as it knows, and with which
// token.
func (d *Duty) Holds(now time.Time) (uint64, bool) {
	if d.state != holding || !now.Before(d.until) {
		return 0, false
	}
	return d.token, true
}

// Release returns the call that gives the duty up when the process stops. One that has
// just been taken is kept until the lease ends, so that the holder does not alternate.
func (d *Duty) Release(now time.Time) Action {
	if _, ok := d.Holds(now); !ok || now.Sub(d.heldSince) < d.lease {
		return Action{}
	}
	d.lose(now, "this instance stops")
	return Action{Kind: Revoke, Lease: d.id}
}
