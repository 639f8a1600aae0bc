package cowslipentry

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

const (
	// maxQueuedCrashes bounds the crashes that wait to be written to the store.
	maxQueuedCrashes = 256
	// crashShareRate and crashShareBurst limit how often an instance writes a crash to the
	// store, so that a wave of crashes does not load the store. The others wait.
	crashShareRate  = 1 // per second
	crashShareBurst = 8
	// doubtfulShareRate limits how often all instances together write crashes of targets
	// that were merely silent when their run ended. While a failure domain is lost, each
	// instance has many of them, and each one written reaches all instances.
	doubtfulShareRate = 2 // per second
	// crashRetryInterval is the time between writes while the store does not accept any.
	crashRetryInterval = time.Second
)

// crashLease is the lease of the crashes that an instance writes. The zero value is none.
type crashLease struct {
	id        cowslipplatform.Lease
	grantedAt time.Time
}

// crashQueue holds the crashes that other instances have not been told of. Create it with
// newCrashQueue. It is safe for concurrent use.
type crashQueue struct {
	limiter *rate.Limiter
	lease   crashLease // used by crashLoop alone

	mu      sync.Mutex
	waiting []cowslipcontrol.SharedCrash
	added   chan struct{}
}

func newCrashQueue(perSecond float64, burst int) *crashQueue {
	return &crashQueue{limiter: rate.NewLimiter(rate.Limit(perSecond), burst), added: make(chan struct{}, 1)}
}

// add queues a crash. It reports false if the oldest one had to make room for it.
func (q *crashQueue) add(s cowslipcontrol.SharedCrash) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, s)
	full := len(q.waiting) > maxQueuedCrashes
	if full {
		q.waiting = q.waiting[1:]
	}
	select {
	case q.added <- struct{}{}:
	default:
	}
	return !full
}

func (q *crashQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiting) == 0
}

// take removes the oldest crash of those under requests with the gravest verdict, as others
// must know of them first. The queue must not be empty.
func (q *crashQueue) take(verdict func(fingerprint uint64) cowsliproute.CrashVerdict) cowslipcontrol.SharedCrash {
	q.mu.Lock()
	defer q.mu.Unlock()
	best := 0
	for i, s := range q.waiting {
		if verdict(s.Fingerprint) > verdict(q.waiting[best].Fingerprint) {
			best = i
		}
	}
	s := q.waiting[best]
	q.waiting = slices.Delete(q.waiting, best, best+1)
	return s
}

// decodeCrashes returns the crashes among the store's values, with their revisions.
func (e *Entry) decodeCrashes(values []cowslipplatform.Value) []cowslipcontrol.SharedCrash {
	return decodeRevisions(e, values, crashesPrefix, func(s *cowslipcontrol.SharedCrash, revision cowslipplatform.Revision) { s.Revision = revision })
}

// decodeRevisions decodes the values below a prefix, and sets the revision of each.
func decodeRevisions[T any](e *Entry, values []cowslipplatform.Value, prefix string, set func(x *T, revision cowslipplatform.Revision)) []T {
	var l []T
	for _, v := range valuesBelow(values, prefix) {
		for _, x := range decodeAll[T](e.log, []cowslipplatform.Value{v}) {
			set(&x, v.Revision)
			l = append(l, x)
		}
	}
	return l
}

// shareCrash queues a crash for the store, through which the other instances hear of it.
func (e *Entry) shareCrash(q *crashQueue, s cowslipcontrol.SharedCrash) {
	if !q.add(s) {
		e.logCrashNotShared("too many crashes", s)
	}
}

// shareEndedRuns queues crashes of targets that did not visibly crash.
func (e *Entry) shareEndedRuns(v *cowsliproute.View, l []cowslipcontrol.SharedCrash) {
	e.doubtfulCrashes.limiter.SetLimit(rate.Limit(doubtfulShareRate / float64(e.control.Counts().Peers+1)))
	for _, s := range l {
		e.guardCrash(s, e.clock.Since(s.Ended))
		e.metrics.crashes.Add(1)
		q := e.doubtfulCrashes
		if max(v.CrashVerdict(s.Fingerprint), v.CrashVerdict(s.Family), v.CrashVerdict(s.Copies), v.CrashVerdict(s.Content)) == cowsliproute.Quarantined {
			q = e.crashes
		}
		e.shareCrash(q, s)
	}
}

// crashLoop writes the crashes of a queue to the store, at the rate of its limiter. Those
// that the store does not accept are written again later.
func (e *Entry) crashLoop(q *crashQueue) {
	for e.ctx.Err() == nil {
		if q.empty() {
			select {
			case <-e.ctx.Done():
			case <-q.added:
			}
			continue
		}
		if err := q.limiter.Wait(e.ctx); err != nil {
			return
		}
		s, ok := e.nextCrash(q)
		if !ok {
			continue
		}
		if err := e.writeCrash(&q.lease, s); err != nil {
			e.logCrashNotShared(err, s)
			e.shareCrash(q, s)
			e.sleep(e.ctx, crashRetryInterval)
		}
	}
}

// nextCrash removes the next crash to write, and those that no longer count as the requests
// were answered since. It reports false if none is left.
func (e *Entry) nextCrash(q *crashQueue) (cowslipcontrol.SharedCrash, bool) {
	for !q.empty() {
		if s := q.take(e.crashVerdict); e.crashCounts(s) {
			return s, true
		}
	}
	return cowslipcontrol.SharedCrash{}, false
}

// crashCounts reports whether the crash still counts at this instance.
func (e *Entry) crashCounts(s cowslipcontrol.SharedCrash) bool {
	ok := false
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { ok = c.HasCrash(s) })
	return ok
}

func (e *Entry) crashVerdict(fingerprint uint64) cowsliproute.CrashVerdict {
	if v := e.view.Load(); v != nil {
		return v.CrashVerdict(fingerprint)
	}
	return cowsliproute.Harmless
}

func (e *Entry) writeCrash(l *crashLease, s cowslipcontrol.SharedCrash) error {
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	t, cancel := context.WithTimeout(e.ctx, platformCallTimeout)
	defer cancel()
	if e.clock.Since(l.grantedAt) > crashLeaseReuse {
		id, err := e.opts.Store.Grant(t, crashLeaseTTL)
		if err != nil {
			return err
		}
		*l = crashLease{id: id, grantedAt: e.clock.Now()}
	}
	k := fmt.Sprintf("%s%016x", crashKeys(s.Fingerprint), xxhash.Sum64String(s.Incident+" "+s.EndedRun))
	_, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: k, Data: b, Lease: l.id})
	switch {
	case errors.Is(err, cowslipplatform.ErrConflict):
		// An earlier call whose answer was lost has written it.
		return nil
	case err != nil:
		*l = crashLease{}
	}
	return err
}

func (e *Entry) logCrashNotShared(reason any, s cowslipcontrol.SharedCrash) {
	e.metrics.crashesNotShared.Add(1)
	e.log.Warn("crash not shared", "reason", reason, "fingerprint", formatFingerprint(s.Fingerprint), "run", s.EndedRun, "request", s.Incident)
}
