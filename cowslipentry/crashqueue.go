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
)

// maxQueuedCrashes bounds the crashes that wait to be written to the store.
const maxQueuedCrashes = 256

// crashLease is the lease of the crashes that an instance writes. The zero value is none.
type crashLease struct {
	id        uint64
	grantedAt time.Time
}

// crashQueue holds the crashes that other instances have not been told of. Create it with
// newCrashQueue. It is safe for concurrent use.
type crashQueue struct {
	mu      sync.Mutex
	waiting []cowslipcontrol.SharedCrash
	added   chan struct{}
}

func newCrashQueue() *crashQueue { return &crashQueue{added: make(chan struct{}, 1)} }

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

// shareCrash queues a crash for the store, through which the other instances hear of it.
func (e *Entry) shareCrash(s cowslipcontrol.SharedCrash) {
	if !e.crashes.add(s) {
		e.logCrashNotShared("too many crashes", s)
	}
}

// crashLoop writes the queued crashes to the store, at the rate of crashLimiter. Those that
// the store does not accept are written again later.
func (e *Entry) crashLoop() {
	for e.ctx.Err() == nil {
		if e.crashes.empty() {
			select {
			case <-e.ctx.Done():
			case <-e.crashes.added:
			}
			continue
		}
		if err := e.crashLimiter.Wait(e.ctx); err != nil {
			return
		}
		s := e.crashes.take(e.crashVerdict)
		if err := e.writeCrash(s); err != nil {
			e.logCrashNotShared(err, s)
			e.shareCrash(s)
			e.sleep(e.ctx, crashShareInterval)
		}
	}
}

func (e *Entry) crashVerdict(fingerprint uint64) cowsliproute.CrashVerdict {
	if v := e.view.Load(); v != nil {
		return v.CrashVerdict(fingerprint)
	}
	return cowsliproute.Harmless
}

func (e *Entry) writeCrash(s cowslipcontrol.SharedCrash) error {
	b, err := json.Marshal(s)
	if err != nil {
		return err
	}
	t, cancel := context.WithTimeout(e.ctx, platformCallTimeout)
	defer cancel()
	if e.clock.Since(e.crashLease.grantedAt) > crashLeaseReuse {
		l, err := e.opts.Store.Grant(t, crashLeaseTTL)
		if err != nil {
			return err
		}
		e.crashLease = crashLease{id: l, grantedAt: e.clock.Now()}
	}
	k := fmt.Sprintf("%s%016x", crashKeys(s.Fingerprint), xxhash.Sum64String(s.Incident+" "+s.EndedRun))
	_, err = e.opts.Store.Put(t, cowslipplatform.Write{Key: k, Data: b, Lease: e.crashLease.id})
	switch {
	case errors.Is(err, cowslipplatform.ErrConflict):
		// An earlier call whose answer was lost has written it.
		return nil
	case err != nil:
		e.crashLease = crashLease{}
	}
	return err
}

func (e *Entry) logCrashNotShared(reason any, s cowslipcontrol.SharedCrash) {
	e.metrics.crashesNotShared.Add(1)
	e.log.Warn("crash not shared", "reason", reason, "fingerprint", formatFingerprint(s.Fingerprint), "run", s.EndedRun, "request", s.Incident)
}
