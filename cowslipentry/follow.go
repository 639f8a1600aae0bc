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
)

// Constants of following the store. The first ones are shares of the age from
// which a copy is old: a reader confirms the copy and a follower learns of it well
// within that age, and where neither does, the store is asked in time.
const (
	// storeWaitShare is for a call's wait for changes; an answer without any
	// confirms the copy.
	storeWaitShare = 0.4
	// storePauseShare is for the time between two calls of a reader, which gathers
	// changes that come together: each call is paid for.
	storePauseShare = 0.2
	// followWaitShare is for a peer's wait for changes.
	followWaitShare = 0.1
	// takeoverShare is the least age from which an instance that is no reader asks
	// the store. Instances do so one after the other, up to the age from which a
	// copy is old, and learn from whoever came first.
	takeoverShare = 0.75
	// checkShare is for the time between two looks at the age.
	checkShare = 0.05
	// otherShare is the age from which the readers of other failure domains are
	// asked, too: until then the own one keeps the copy up to date alone.
	otherShare = 0.6
	// storeRetry is the time between calls to a store that does not answer.
	storeRetry = 400 * time.Millisecond
	// followSlack is how much later than its wait a peer's answer may come.
	followSlack = 500 * time.Millisecond
)

// copyAge is the age of the copy's last confirmation from which an instance that
// is no reader asks the store itself.
func (e *Entry) copyAge() time.Duration { return e.tuned().bounds.maxCopyAge() }

func (e *Entry) shareOfAge(share float64) time.Duration {
	return time.Duration(float64(e.copyAge()) * share)
}

// takeoverAge is the age of the copy from which this instance asks the store
// though it is no reader.
func (e *Entry) takeoverAge() time.Duration {
	own := float64(xxhash.Sum64String(e.o.ID)) / math.MaxUint64
	return e.shareOfAge(takeoverShare + (1-takeoverShare)*own)
}

// storeLoop keeps the copy of the store by reading the store: the reader of each
// failure domain does, and whoever has an old copy.
func (e *Entry) storeLoop() {
	for e.life.Err() == nil {
		old := e.mirror.Revision() == 0 || e.clock.Since(e.mirror.ConfirmedAt()) > e.takeoverAge()
		switch {
		case !old && !e.sources().ReadsStore:
			e.sleep(e.life, e.shareOfAge(checkShare))
		default:
			e.sleep(e.life, e.readStore())
		}
	}
}

// followOwn follows the reader of the own failure domain.
func (e *Entry) followOwn() {
	e.followLoop(e.shareOfAge(followWaitShare), func(s cowslipcontrol.Sources, _ int) cowslipcontrol.Member { return s.OwnReader })
}

// followOthers asks other instances while the reader of the own failure domain
// does not keep the copy up to date, so that no instance depends on a single path
// to the store.
func (e *Entry) followOthers() {
	seeds := e.seedMembers()
	e.followLoop(0, func(s cowslipcontrol.Sources, n int) cowslipcontrol.Member {
		if e.upToDate() {
			return cowslipcontrol.Member{}
		}
		if len(s.OtherReaders) == 0 && len(s.OtherInstances) == 0 && e.mirror.Revision() == 0 {
			s.OtherReaders = seeds
		}
		return otherSource(s, n, rand.IntN)
	})
}

// otherSource names the nth instance to ask: the readers of other failure domains
// in turn, and in between any instance, since the store may turn away just the
// readers.
func otherSource(s cowslipcontrol.Sources, n int, draw func(n int) int) cowslipcontrol.Member {
	switch {
	case len(s.OtherReaders) > 0 && (n%2 == 0 || len(s.OtherInstances) == 0):
		return s.OtherReaders[n/2%len(s.OtherReaders)]
	case len(s.OtherInstances) > 0:
		return s.OtherInstances[draw(len(s.OtherInstances))]
	}
	return cowslipcontrol.Member{}
}

// upToDate tells whether another copy could hardly tell anything new.
func (e *Entry) upToDate() bool {
	return e.mirror.Revision() > 0 && e.clock.Since(e.mirror.ConfirmedAt()) < e.shareOfAge(otherShare)
}

// followLoop keeps the copy of the store by following the copies of peers that
// next names, which wait for changes. It pauses while there is none, and between
// two calls that do not wait.
func (e *Entry) followLoop(wait time.Duration, next func(s cowslipcontrol.Sources, n int) cowslipcontrol.Member) {
	clients := map[string]*cowslippeer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for n := 0; e.life.Err() == nil; n++ {
		m := next(e.sources(), n)
		if m.Addr != "" && clients[m.Addr] == nil {
			clients[m.Addr] = &cowslippeer.Client{Addr: m.Addr, Dial: e.o.Dial}
		}
		switch {
		case m.Addr == "" || !e.followPeer(clients[m.Addr], m, wait):
			e.sleep(e.life, storeRetry)
		case wait == 0:
			e.sleep(e.life, e.shareOfAge(followWaitShare))
		}
	}
}

func (e *Entry) sources() cowslipcontrol.Sources {
	var s cowslipcontrol.Sources
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { s = c.Sources() })
	return s
}

func (e *Entry) seedMembers() []cowslipcontrol.Member {
	var l []cowslipcontrol.Member
	for _, s := range e.o.Seeds {
		if s != e.o.Advertise {
			l = append(l, cowslipcontrol.Member{Addr: s})
		}
	}
	return l
}

// readStore brings the copy up to date with the store and tells when to ask it
// again: at once if there may be more.
func (e *Entry) readStore() time.Duration {
	u, err := e.askStore()
	more := errors.Is(err, cowslipplatform.ErrMoreChanges)
	if err != nil && !more {
		if e.life.Err() == nil && e.storeLost.CompareAndSwap(false, true) {
			e.event("storeLost", "", err.Error())
		}
		return storeRetry
	}
	if e.storeLost.CompareAndSwap(true, false) {
		e.event("storeRegained", "", "")
	}
	e.applyUpdate(u, "the store")
	if more && u.Revision > u.From {
		return 0
	}
	return e.shareOfAge(storePauseShare)
}

func (e *Entry) askStore() (cowslipmirror.Update, error) {
	e.metrics.storeCalls.Add(1)
	r := e.mirror.Revision()
	if r > 0 {
		l, to, err := e.o.Store.Changes(e.life, e.o.Facts.Prefix, r, e.shareOfAge(storeWaitShare))
		u := cowslipmirror.Update{From: r, Revision: max(to, r), Changes: l}
		switch {
		case err == nil:
			u.ConfirmedAt = e.clock.Now()
			return u, nil
		case errors.Is(err, cowslipplatform.ErrMoreChanges):
			return u, err
		}
		if !errors.Is(err, cowslipplatform.ErrCompacted) {
			return cowslipmirror.Update{}, err
		}
		e.event("historyLost", "", "all keys are read anew")
	}
	l, err := e.o.Store.Scan(e.life, e.o.Facts.Prefix, r == 0)
	if err != nil {
		return cowslipmirror.Update{}, err
	}
	u := cowslipmirror.Update{Full: true, Revision: l.Revision, ConfirmedAt: e.clock.Now()}
	for _, v := range l.Values {
		u.Changes = append(u.Changes, cowslipplatform.Change{Value: v})
	}
	return u, nil
}

// followPeer asks a peer for what its copy has beyond the own one.
func (e *Entry) followPeer(k *cowslippeer.Client, m cowslipcontrol.Member, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(e.life, wait+followSlack)
	defer cancel()
	p, err := k.Follow(ctx, &cowslipmessage.FollowRequest{Revision: e.mirror.Revision(), WaitMillis: wait.Milliseconds()})
	if err != nil {
		e.log.Debug("peer not followed", "peer", m.ID, "addr", m.Addr, "error", err)
		e.do(func(now time.Time, c *cowslipcontrol.Control) {
			c.PeerFailed(now, m.ID, cowslippeer.IsConnectionRefused(err))
		})
		return false
	}
	e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.PeerAnswered(now, m.ID)
		if p.GetIsolated() && m.FailureDomain == e.o.FailureDomain {
			c.PeerIsolated(now)
		}
	})
	e.applyUpdate(updateOf(p, e.clock.Now()), "peer "+m.ID)
	return p.GetRevision() > 0
}

func updateOf(p *cowslipmessage.FollowReply, now time.Time) cowslipmirror.Update {
	u := cowslipmirror.Update{Full: p.GetWhole(), From: p.GetFrom(), Revision: p.GetRevision()}
	if a := p.GetAgeMillis(); a >= 0 {
		u.ConfirmedAt = now.Add(-time.Duration(a) * time.Millisecond)
	}
	for _, c := range p.GetChanges() {
		u.Changes = append(u.Changes, cowslipplatform.Change{Value: cowslipplatform.Value{Key: c.GetKey(), Data: c.GetData(), Revision: c.GetRevision()}, Removed: c.GetRemoved()})
	}
	return u
}

// decodeMembers reads the entry instances that the store lists.
func decodeMembers(l []cowslipplatform.Value) []cowslipcontrol.Member {
	var m []cowslipplatform.Value
	for _, v := range l {
		if strings.HasPrefix(v.Key, entriesPrefix) {
			m = append(m, v)
		}
	}
	return decodeAll[cowslipcontrol.Member](m)
}

// onFollow serves a peer that follows this instance's copy.
func (e *Entry) onFollow(ctx context.Context, r *cowslipmessage.FollowRequest) (*cowslipmessage.FollowReply, error) {
	t, cancel := context.WithTimeout(ctx, time.Duration(r.GetWaitMillis())*time.Millisecond)
	defer cancel()
	if r.GetRevision() > 0 {
		e.mirror.Wait(t, r.GetRevision())
	}
	u := e.mirror.Since(r.GetRevision())
	p := &cowslipmessage.FollowReply{Whole: u.Full, From: u.From, Revision: u.Revision, AgeMillis: -1, Isolated: e.isolated.Load() != 0}
	if !u.ConfirmedAt.IsZero() {
		p.AgeMillis = e.clock.Since(u.ConfirmedAt).Milliseconds()
	}
	for _, c := range u.Changes {
		p.Changes = append(p.Changes, &cowslipmessage.Change{Key: c.Key, Data: c.Data, Revision: c.Revision, Removed: c.Removed})
	}
	return p, nil
}

// applyUpdate takes an update into the copy and what it says into the control
// state, one at a time: a second source must not be overtaken by an older copy of
// the first.
func (e *Entry) applyUpdate(u cowslipmirror.Update, from string) {
	e.applying.Lock()
	defer e.applying.Unlock()
	if !e.mirror.Apply(u) {
		return
	}
	values := e.mirror.Values()
	b, problems := e.tuned().facts.Decode(values)
	for _, p := range problems {
		e.log.Warn("value of the store left out", "error", p)
	}
	r := e.mirror.Revision()
	members := decodeMembers(values)
	e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.UpdateMembers(now, members)
		if b.ConfigText != "" && b.ConfigText != c.Accepted().Text {
			c.Offer(cowslipcontrol.Accepted{Revision: r, Text: b.ConfigText}, from)
		}
		c.UpdateTargets(now, b.Targets)
		learnMoves(c, b.Moves)
	})
}
