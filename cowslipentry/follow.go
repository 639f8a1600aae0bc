package cowslipentry

import (
	"context"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipmirror"
	"cowslipflow/cowslippeer"
	"cowslipflow/cowslipplatform"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

// Constants for mirroring the store. In each failure domain, one instance is the
// reader: it calls the store. The others, its followers, copy its mirror. The age of a
// mirror is the time since the store last confirmed its content. Those constants named
// Share are shares of staleAge, the age at which a mirror is stale. While the store and
// the reader answer, mirrors are confirmed well before that age. Otherwise each
// instance calls the store itself at about that age, early enough to have a new
// configuration in force within Bounds.Apply.
const (
	// storeWaitShare is the time for which a long poll of the store waits for
	// changes. A response without changes confirms the mirror.
	storeWaitShare = 0.4
	// storeIntervalShare is the time between two calls of a reader. It batches
	// changes that occur close together, since the platform charges for each call.
	storeIntervalShare = 0.2
	// followWaitShare is the time for which a long poll of a peer waits for changes.
	followWaitShare = 0.1
	// takeoverShare is the minimum age at which an instance that is not a reader
	// reads the store. The instances do so at different ages, spread from there to
	// staleAge, so that the others can copy from the first one.
	takeoverShare = 0.75
	// ageCheckShare is the time between two checks of the age.
	ageCheckShare = 0.05
	// otherSourcesShare is the age at which an instance also starts to ask instances
	// other than the reader of its failure domain. Until then, that reader alone keeps
	// the mirror up to date.
	otherSourcesShare = 0.6
	// lapseReturnTime is how long after an outage of the store a target may take to
	// register again.
	lapseReturnTime = 2 * time.Second
	// changeShare is the time until a change in the store has reached all instances
	// while readers and followers are well.
	changeShare = storeIntervalShare + followWaitShare
	// storeRetryInterval is the time between calls to a store or peer that does not
	// answer.
	storeRetryInterval = 400 * time.Millisecond
	// unconfirmedRetryInterval replaces storeRetryInterval while an instance that has
	// just started waits for its mirror to be confirmed.
	unconfirmedRetryInterval = 100 * time.Millisecond
	// confirmationWait limits how long an instance that has just started is not ready
	// because its mirror is not confirmed. When it is over, old content is better than
	// none.
	confirmationWait = 500 * time.Millisecond
	// followTimeoutMargin is the time that a peer has to answer after the wait of a
	// long poll has elapsed.
	followTimeoutMargin = 500 * time.Millisecond
)

// staleAge returns the age at which the mirror is stale. At about that age, an instance
// reads the store itself even if it is not a reader.
func (e *Entry) staleAge() time.Duration { return e.currentSettings().bounds.staleAge() }

func (e *Entry) shareOfStaleAge(share float64) time.Duration {
	return time.Duration(float64(e.staleAge()) * share)
}

// takeoverAge returns the age of the mirror at which this instance reads the store
// although it is not a reader.
func (e *Entry) takeoverAge() time.Duration {
	own := float64(xxhash.Sum64String(e.opts.ID)) / math.MaxUint64
	return e.shareOfStaleAge(takeoverShare + (1-takeoverShare)*own)
}

// storeLoop updates the mirror from the store while this instance is the reader of
// its failure domain, or its mirror is empty or older than takeoverAge.
func (e *Entry) storeLoop() {
	for e.ctx.Err() == nil {
		old := e.mirror.Revision().IsZero() || e.clock.Since(e.contentFrom()) > e.takeoverAge()
		switch {
		case !old && !e.storeSources().ReadsStore:
			e.sleep(e.ctx, e.shareOfStaleAge(ageCheckShare))
		default:
			e.sleep(e.ctx, e.readStore())
		}
	}
}

// followOwnReader updates the mirror from the reader of this instance's failure domain.
func (e *Entry) followOwnReader() {
	e.followLoop(e.shareOfStaleAge(followWaitShare), func(s cowslipcontrol.Sources, _ int) cowslipcontrol.Member { return s.OwnReader })
}

// followOtherSources updates the mirror from other instances while the reader of this
// instance's failure domain does not keep it fresh, so that no instance depends on a
// single path to the store.
func (e *Entry) followOtherSources() {
	seeds := e.seedMembers()
	e.followLoop(0, func(s cowslipcontrol.Sources, n int) cowslipcontrol.Member {
		if e.isMirrorFresh() {
			return cowslipcontrol.Member{}
		}
		if len(s.OtherReaders) == 0 && len(s.OtherInstances) == 0 && e.mirror.Revision().IsZero() {
			s.OtherReaders = seeds
		}
		return pickOtherSource(s, n, rand.IntN)
	})
}

// pickOtherSource returns the nth instance to ask. It alternates between the readers
// of other failure domains, in turn, and a random instance that is not a reader,
// since the store may refuse exactly the readers.
func pickOtherSource(s cowslipcontrol.Sources, n int, draw func(n int) int) cowslipcontrol.Member {
	switch {
	case len(s.OtherReaders) > 0 && (n%2 == 0 || len(s.OtherInstances) == 0):
		return s.OtherReaders[n/2%len(s.OtherReaders)]
	case len(s.OtherInstances) > 0:
		return s.OtherInstances[draw(len(s.OtherInstances))]
	}
	return cowslipcontrol.Member{}
}

// isMirrorFresh reports whether the mirror was confirmed so recently that those of other
// instances can hardly have newer content. Then only the reader of this instance's
// failure domain is asked.
func (e *Entry) isMirrorFresh() bool {
	return !e.mirror.Revision().IsZero() && e.clock.Since(e.mirror.ConfirmedAt()) < e.shareOfStaleAge(otherSourcesShare)
}

// followLoop updates the mirror by long polls of the peers that next returns. It
// pauses after a failed call, while there is no peer to ask, and between calls if
// wait is 0.
func (e *Entry) followLoop(wait time.Duration, next func(s cowslipcontrol.Sources, n int) cowslipcontrol.Member) {
	clients := map[string]*cowslippeer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for n := 0; e.ctx.Err() == nil; n++ {
		m := next(e.storeSources(), n)
		if m.Addr != "" && clients[m.Addr] == nil {
			clients[m.Addr] = &cowslippeer.Client{Addr: m.Addr, Dial: e.opts.Dial}
		}
		switch {
		case m.Addr == "" || !e.followPeer(clients[m.Addr], m, wait):
			e.sleep(e.ctx, e.followRetryInterval())
		case wait == 0:
			e.sleep(e.ctx, e.shareOfStaleAge(followWaitShare))
		}
	}
}

// isMirrorConfirmed reports whether the store is known to have confirmed the content of
// the mirror at some time since this instance started. A first listing may be seconds
// old: it may have targets that have left since, and routes that were withdrawn.
func (e *Entry) isMirrorConfirmed() bool { return !e.mirror.ConfirmedAt().IsZero() }

// contentFrom returns the later of the times at which the mirror was last confirmed and at
// which it first had content, the zero time for an empty mirror.
func (e *Entry) contentFrom() time.Time {
	t := e.mirror.ConfirmedAt()
	if m := e.firstMirrored.Load(); m != nil && m.After(t) {
		return *m
	}
	return t
}

// isMirrorUsable reports whether callers may be served from the mirror at now: it is
// confirmed, or confirmationWait is over.
func (e *Entry) isMirrorUsable(now time.Time) bool {
	return e.isMirrorConfirmed() || !e.mirror.Revision().IsZero() && now.Sub(e.contentFrom()) >= confirmationWait
}

func (e *Entry) followRetryInterval() time.Duration {
	if e.isMirrorConfirmed() {
		return storeRetryInterval
	}
	return unconfirmedRetryInterval
}

func (e *Entry) storeSources() cowslipcontrol.Sources {
	var s cowslipcontrol.Sources
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { s = c.Sources() })
	return s
}

func (e *Entry) seedMembers() []cowslipcontrol.Member {
	var l []cowslipcontrol.Member
	for _, s := range e.opts.Seeds {
		if s != e.opts.Advertise {
			l = append(l, cowslipcontrol.Member{Addr: s})
		}
	}
	return l
}

// readStore updates the mirror from the store and returns the time to wait before the
// next call, which is 0 if more changes may follow.
func (e *Entry) readStore() time.Duration {
	u, err := e.fetchUpdate()
	more := errors.Is(err, cowslipplatform.ErrMoreChanges)
	if err != nil && !more {
		if e.ctx.Err() == nil && e.storeLost.CompareAndSwap(false, true) {
			e.event("storeLost", "", err.Error())
		}
		return storeRetryInterval
	}
	if e.storeLost.CompareAndSwap(true, false) {
		e.event("storeRegained", "", "")
	}
	e.applyUpdate(u, "the store")
	switch {
	case more && u.Revision.After(u.From):
		return 0
	case !e.isMirrorConfirmed() && e.storeSources().ReadsStore:
		return 0
	}
	return e.shareOfStaleAge(storeIntervalShare)
}

func (e *Entry) fetchUpdate() (cowslipmirror.Update, error) {
	e.metrics.storeCalls.Add(1)
	began := e.clock.Now()
	r := e.mirror.Revision()
	if !r.IsZero() {
		wait := e.shareOfStaleAge(storeWaitShare)
		if !e.isMirrorConfirmed() {
			wait = 0
		}
		l, to, err := e.opts.Store.Changes(e.ctx, e.opts.StoreCodec.Prefix, r, wait)
		if to.Before(r) {
			to = r
		}
		u := cowslipmirror.Update{From: r, Revision: to, Changes: l}
		switch {
		case err == nil:
			u.ConfirmedAt = e.confirmedBy(began)
			return u, nil
		case errors.Is(err, cowslipplatform.ErrMoreChanges):
			return u, err
		}
		if !errors.Is(err, cowslipplatform.ErrCompacted) && !errors.Is(err, cowslipplatform.ErrEraEnded) {
			return cowslipmirror.Update{}, err
		}
		e.event("historyLost", r.String(), "reading all keys again: "+err.Error())
	}
	// The first listing may be stale, as such a call costs a tenth. It confirms nothing.
	stale := r.IsZero()
	l, err := e.opts.Store.Scan(e.ctx, e.opts.StoreCodec.Prefix, stale)
	if err != nil {
		return cowslipmirror.Update{}, err
	}
	u := cowslipmirror.Update{Full: true, Revision: l.Revision}
	if !stale {
		u.ConfirmedAt = e.confirmedBy(began)
	}
	for _, v := range l.Values {
		u.Changes = append(u.Changes, cowslipplatform.Change{Value: v})
	}
	return u, nil
}

// followPeer updates the mirror from that of a peer. It reports whether the peer
// answered and its mirror has content.
func (e *Entry) followPeer(k *cowslippeer.Client, m cowslipcontrol.Member, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(e.ctx, wait+followTimeoutMargin)
	defer cancel()
	began := e.clock.Now()
	r := e.mirror.Revision()
	p, err := k.Follow(ctx, &cowslipmessage.FollowRequest{Revision: r.Number(), Era: proto.Uint64(r.Era()), WaitMillis: wait.Milliseconds()})
	if err != nil {
		e.log.Debug("mirror not updated from peer", "peer", m.ID, "addr", m.Addr, "error", err)
		e.do(func(now time.Time, c *cowslipcontrol.Control) {
			c.PeerFailed(now, m.ID, cowslippeer.IsConnectionRefused(err))
		})
		return false
	}
	e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.PeerAnswered(now, m.ID)
		if p.GetIsolated() && m.FailureDomain == e.opts.FailureDomain {
			c.PeerIsolated(now)
		}
	})
	e.applyUpdate(updateFromReply(p, e.confirmedBy(began)), "peer "+m.ID)
	// A peer that is still in an earlier era, or states none, has nothing to tell.
	return p.GetRevision() > 0 && p.GetEra() >= r.Era()
}

func updateFromReply(p *cowslipmessage.FollowReply, now time.Time) cowslipmirror.Update {
	at := func(n uint64) cowslipplatform.Revision { return cowslipplatform.NewRevision(p.GetEra(), n) }
	u := cowslipmirror.Update{Full: p.GetWhole(), From: at(p.GetFrom()), Revision: at(p.GetRevision())}
	if a := p.GetAgeMillis(); a >= 0 {
		u.ConfirmedAt = now.Add(-time.Duration(a) * time.Millisecond)
	}
	for _, c := range p.GetChanges() {
		u.Changes = append(u.Changes, cowslipplatform.Change{Value: cowslipplatform.Value{Key: c.GetKey(), Data: c.GetData(), Revision: at(c.GetRevision())}, Removed: c.GetRemoved()})
	}
	return u
}

// decodeMembers decodes the entry instances that are registered in the store.
func (e *Entry) decodeMembers(l []cowslipplatform.Value) []cowslipcontrol.Member {
	return decodeAll[cowslipcontrol.Member](e.log, valuesBelow(l, entriesPrefix))
}

// valuesBelow returns the values whose keys have a prefix.
func valuesBelow(l []cowslipplatform.Value, prefix string) []cowslipplatform.Value {
	var m []cowslipplatform.Value
	for _, v := range l {
		if strings.HasPrefix(v.Key, prefix) {
			m = append(m, v)
		}
	}
	return m
}

// onFollow returns the changes of this instance's mirror to a peer that follows it.
func (e *Entry) onFollow(ctx context.Context, r *cowslipmessage.FollowRequest) (*cowslipmessage.FollowReply, error) {
	t, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond)
	defer cancel()
	after := cowslipplatform.NewRevision(r.GetEra(), r.GetRevision())
	if r.Era == nil {
		after = cowslipplatform.NewRevision(e.mirror.Revision().Era(), r.GetRevision())
	}
	if !after.IsZero() {
		e.mirror.Wait(t, after)
	}
	u := e.mirror.Since(after)
	p := &cowslipmessage.FollowReply{Whole: u.Full, From: u.From.Number(), Revision: u.Revision.Number(), Era: u.Revision.Era(), AgeMillis: -1, Isolated: e.isolatedSince.Load() != 0}
	if !u.ConfirmedAt.IsZero() {
		p.AgeMillis = e.clock.Since(u.ConfirmedAt).Milliseconds()
	}
	for _, c := range u.Changes {
		p.Changes = append(p.Changes, &cowslipmessage.Change{Key: c.Key, Data: c.Data, Revision: c.Revision.Number(), Removed: c.Removed})
	}
	return p, nil
}
