package cowslipentry

import (
	"context"
	"encoding/json"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
)

// Keys and times of the calls to the platform.
const (
	entriesPrefix = "cowslipflow/entries/"
	movesPrefix   = "cowslipflow/moves/"
	watchWait     = time.Second
	callTimeout   = 2 * time.Second
	retryPause    = 500 * time.Millisecond
	listInterval  = time.Second
	leaseTime     = 10 * time.Second
	leaseRenewal  = 3 * time.Second
	outcomePause  = time.Second
)

// watchLoop follows the configuration. Each answer, changed or not, confirms
// the revision in force.
func (e *Entry) watchLoop() {
	var seen uint64
	for e.life.Err() == nil {
		start := e.clock.Now()
		ctx, cancel := context.WithTimeout(e.life, watchWait+callTimeout)
		v, err := e.o.Store.Watch(ctx, cowslipcontrol.ConfigKey, seen, watchWait)
		cancel()
		var a cowslipcontrol.Accepted
		switch {
		case errors.Is(err, cowslipplatform.ErrNotFound):
			err = nil
		case err == nil:
			seen = v.Revision
			a, err = cowslipcontrol.DecodeAccepted(v.Data)
		}
		e.do(func(_ time.Time, c *cowslipcontrol.Control) {
			if err != nil {
				c.PlatformFailed()
				return
			}
			c.Stored(start, a)
		})
		if err != nil && e.life.Err() == nil {
			e.log.Warn("configuration not read", "error", err)
			e.sleep(e.life, retryPause)
		}
	}
}

// listLoop reads the lists of instances and the ends of moves.
func (e *Entry) listLoop() {
	for e.life.Err() == nil {
		e.readLists()
		e.sleep(e.life, listInterval)
	}
}

func (e *Entry) readLists() {
	ctx, cancel := context.WithTimeout(e.life, callTimeout)
	defer cancel()
	l, err := e.o.Store.Instances(ctx)
	if err != nil {
		e.log.Debug("instances not read", "error", err)
		return
	}
	p, err := e.o.Store.List(ctx, entriesPrefix)
	if err != nil {
		e.log.Debug("entry instances not read", "error", err)
		return
	}
	m := decodeAll[cowslipcontrol.Member](p)
	var o []cowslipmessage.Outcome
	if e.hasMoves() {
		if p, err = e.o.Store.List(ctx, movesPrefix); err != nil {
			e.log.Debug("ends of moves not read", "error", err)
		}
		o = decodeAll[cowslipmessage.Outcome](p)
	}
	e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.UpdateTargets(now, l)
		c.UpdateMembers(now, m)
		for i := range o {
			c.Outcome(&o[i])
		}
	})
}

func (e *Entry) hasMoves() bool {
	n := 0
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { n = len(c.Config().Moves()) })
	return n > 0
}

func decodeAll[T any](l []cowslipplatform.Value) []T {
	var r []T
	for _, v := range l {
		var x T
		if err := json.Unmarshal(v.Data, &x); err == nil {
			r = append(r, x)
		}
	}
	return r
}

// leaseLoop keeps this instance on the list of entry instances. A lease that
// lapsed while the process stood still is replaced.
func (e *Entry) leaseLoop() {
	for e.life.Err() == nil && !e.draining.Load() {
		if err := e.renewLease(); err != nil {
			e.log.Debug("lease not renewed", "error", err)
			e.sleep(e.life, retryPause)
			continue
		}
		e.sleep(e.life, leaseRenewal)
	}
}

func (e *Entry) renewLease() error {
	ctx, cancel := context.WithTimeout(e.life, callTimeout)
	defer cancel()
	if l := e.lease.Load(); l != 0 {
		err := e.o.Store.KeepAlive(ctx, l)
		if !errors.Is(err, cowslipplatform.ErrLeaseExpired) {
			return err
		}
		e.event("leaseLapsed", e.o.ID, "registering again")
	}
	l, err := e.o.Store.Grant(ctx, leaseTime)
	if err != nil {
		return err
	}
	b, err := json.Marshal(cowslipcontrol.Member{ID: e.o.ID, FailureDomain: e.o.FailureDomain, Addr: e.o.Advertise, Capacity: e.o.Capacity, Incarnation: e.incarnation})
	if err != nil {
		return err
	}
	k := entriesPrefix + e.o.ID
	v, err := e.o.Store.Get(ctx, k)
	if err != nil && !errors.Is(err, cowslipplatform.ErrNotFound) {
		return err
	}
	if _, err := e.o.Store.Put(ctx, cowslipplatform.Write{Key: k, Data: b, Expect: v.Revision, Lease: l}); err != nil {
		return err
	}
	e.lease.Store(l)
	return nil
}

// repair writes the configuration in force back to a store that holds an older
// one.
func (e *Entry) repair(ctx context.Context, a cowslipcontrol.Accepted) {
	if _, busy := e.busy.LoadOrStore("repair", true); busy {
		return
	}
	defer e.busy.Delete("repair")
	t, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := e.o.Store.Get(t, cowslipcontrol.ConfigKey)
	if err != nil && !errors.Is(err, cowslipplatform.ErrNotFound) {
		return
	}
	if err == nil {
		if o, err := cowslipcontrol.DecodeAccepted(v.Data); err == nil && o.Revision >= a.Revision {
			return
		}
	}
	b, err := a.Encode()
	if err != nil {
		return
	}
	if _, err := e.o.Store.Put(t, cowslipplatform.Write{Key: cowslipcontrol.ConfigKey, Data: b, Expect: v.Revision}); err == nil {
		e.event("storeRepaired", cowslipcontrol.ConfigKey, "the revision in force was written back")
	}
}

// recordOutcome writes the end of a move; the first record stands.
func (e *Entry) recordOutcome(ctx context.Context, o *cowslipmessage.Outcome) {
	if e.o.Edge != nil {
		e.recordEnd(ctx, o)
		return
	}
	t, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err := json.Marshal(o)
	if err != nil {
		return
	}
	k := movesPrefix + o.GetMove()
	_, err = e.o.Store.Put(t, cowslipplatform.Write{Key: k, Data: b})
	if err == nil {
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(o) })
		return
	}
	v, err := e.o.Store.Get(t, k)
	if err != nil {
		return
	}
	var r cowslipmessage.Outcome
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return
	}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(&r) })
}
