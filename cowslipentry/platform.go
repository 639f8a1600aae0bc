package cowslipentry

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
)

// Key prefixes, intervals and timeouts of the calls to the platform.
const (
	entriesPrefix           = "cowslipflow/entries/"
	movesPrefix             = "cowslipflow/moves/"
	watchWait               = time.Second
	platformCallTimeout     = 2 * time.Second
	platformRetryInterval   = 500 * time.Millisecond
	listInterval            = time.Second
	leaseTTL                = 10 * time.Second
	leaseRenewInterval      = 3 * time.Second
	moveRecordRetryInterval = time.Second
)

// watchLoop reads the configuration by long polls. Each response, with or without a
// change, confirms the revision in force.
func (e *Entry) watchLoop() {
	var seen cowslipplatform.Revision
	for e.ctx.Err() == nil {
		start := e.clock.Now()
		ctx, cancel := context.WithTimeout(e.ctx, watchWait+platformCallTimeout)
		v, err := e.opts.Store.Watch(ctx, cowslipcontrol.ConfigKey, seen, watchWait)
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
		if err != nil && e.ctx.Err() == nil {
			e.log.Warn("configuration not read", "error", err)
			e.sleep(e.ctx, platformRetryInterval)
		}
	}
}

// listLoop periodically reads the lists of targets and entry instances and the
// outcomes of moves. It also reads them right after this instance has put itself on the
// list: of two instances that start at the same time, at least one then finds the other.
func (e *Entry) listLoop() {
	for e.ctx.Err() == nil {
		e.readLists()
		select {
		case <-e.ctx.Done():
		case <-e.registered:
		case <-e.clock.After(listInterval):
		}
	}
}

func (e *Entry) readLists() {
	ctx, cancel := context.WithTimeout(e.ctx, platformCallTimeout)
	defer cancel()
	l, err := e.opts.Store.Instances(ctx)
	if err != nil {
		e.log.Debug("list of targets not read", "error", err)
		return
	}
	p, err := e.opts.Store.List(ctx, entriesPrefix)
	if err != nil {
		e.log.Debug("list of entry instances not read", "error", err)
		return
	}
	m := decodeAll[cowslipcontrol.Member](e.log, p)
	var o []cowslipmessage.Outcome
	listed := false
	if e.hasMoves() {
		if p, err = e.opts.Store.List(ctx, movesPrefix); err != nil {
			e.log.Debug("outcomes of moves not read", "error", err)
		}
		o, listed = decodeAll[cowslipmessage.Outcome](e.log, p), err == nil
	}
	e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.UpdateTargets(now, l)
		c.UpdateMembers(now, m)
		for i := range o {
			c.Outcome(&o[i])
		}
		if listed {
			c.OutcomesListed(o)
		}
	})
}

func (e *Entry) hasMoves() bool {
	n := 0
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { n = len(c.Config().Moves()) })
	return n > 0
}

// decodeAll decodes the values that it can and logs the others.
func decodeAll[T any](log *slog.Logger, l []cowslipplatform.Value) []T {
	var r []T
	for _, v := range l {
		var x T
		if err := json.Unmarshal(v.Data, &x); err != nil {
			log.Warn("value not decoded", "key", v.Key, "revision", v.Revision, "error", err)
			continue
		}
		r = append(r, x)
	}
	return r
}

// leaseLoop keeps this instance on the list of entry instances. It replaces a lease
// that expired while the process was paused.
func (e *Entry) leaseLoop() {
	for e.ctx.Err() == nil && !e.draining.Load() {
		if err := e.renewLease(); err != nil {
			e.log.Debug("lease not renewed", "error", err)
			e.sleep(e.ctx, platformRetryInterval)
			continue
		}
		e.sleep(e.ctx, leaseRenewInterval)
	}
}

func (e *Entry) renewLease() error {
	ctx, cancel := context.WithTimeout(e.ctx, platformCallTimeout)
	defer cancel()
	if l := e.lease.Load(); l != nil {
		err := e.opts.Store.KeepAlive(ctx, *l)
		if !errors.Is(err, cowslipplatform.ErrLeaseExpired) {
			return err
		}
		e.event("leaseLapsed", e.opts.ID, "registering again")
	}
	l, err := e.opts.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	b, err := json.Marshal(cowslipcontrol.Member{ID: e.opts.ID, FailureDomain: e.opts.FailureDomain, Addr: e.opts.Advertise, Capacity: e.opts.Capacity, Incarnation: e.incarnation})
	if err != nil {
		return err
	}
	k := entriesPrefix + e.opts.ID
	v, err := e.opts.Store.Get(ctx, k)
	if err != nil && !errors.Is(err, cowslipplatform.ErrNotFound) {
		return err
	}
	if _, err := e.opts.Store.Put(ctx, cowslipplatform.Write{Key: k, Data: b, Expect: v.Revision, Lease: l}); err != nil {
		return err
	}
	e.lease.Store(&l)
	select {
	case e.registered <- struct{}{}:
	default:
	}
	return nil
}

// repairStore writes the configuration in force back to a store that holds an older
// revision.
func (e *Entry) repairStore(ctx context.Context, a cowslipcontrol.Accepted) {
	if _, busy := e.activeTasks.LoadOrStore("repair", true); busy {
		return
	}
	defer e.activeTasks.Delete("repair")
	t, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	v, err := e.opts.Store.Get(t, cowslipcontrol.ConfigKey)
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
	if _, err := e.opts.Store.Put(t, cowslipplatform.Write{Key: cowslipcontrol.ConfigKey, Data: b, Expect: v.Revision}); err == nil {
		e.event("storeRepaired", cowslipcontrol.ConfigKey, "the revision in force was written back")
	}
}

// recordMoveOutcome records the outcome of a move, which was decided on the expected revision of
// its record. If another instance has recorded one already, that one applies. It returns the
// time after which the outcome may be recorded again.
func (e *Entry) recordMoveOutcome(ctx context.Context, o *cowslipmessage.Outcome, expect cowslipplatform.Revision) time.Duration {
	if e.opts.Edge != nil {
		return e.recordOutcomeWithCodec(ctx, o, expect)
	}
	e.createOutcome(ctx, o)
	return moveRecordRetryInterval
}

// createOutcome records the outcome of a move unless there is one. The one in the store applies.
func (e *Entry) createOutcome(ctx context.Context, o *cowslipmessage.Outcome) {
	t, cancel := context.WithTimeout(ctx, platformCallTimeout)
	defer cancel()
	b, err := json.Marshal(o)
	if err != nil {
		return
	}
	k := movesPrefix + o.GetMove()
	_, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: k, Data: b})
	if err == nil {
		e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(o) })
		return
	}
	v, err := e.opts.Store.Get(t, k)
	if err != nil {
		return
	}
	var r cowslipmessage.Outcome
	if err := json.Unmarshal(v.Data, &r); err != nil {
		return
	}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.Outcome(&r) })
}
