package cowslipentry

import (
	"context"
	"slices"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"

	"golang.org/x/time/rate"
)

const (
	// crashWarningRate and crashWarningBurst limit how often an instance warns the others, which
	// are up to 195.
	crashWarningRate  = 8 // per second
	crashWarningBurst = 8
	// maxCrashWarnings bounds the warnings that wait; the oldest is dropped first.
	maxCrashWarnings = 32
)

// crashWarning is a warning that waits to be sent.
type crashWarning struct {
	at      time.Time // when the target broke off
	message *cowslipmessage.CrashWarning
}

// warningQueue holds the warnings to send, the newest last. The zero value is ready to use. It
// is safe for concurrent use.
type warningQueue struct {
	mu      sync.Mutex
	waiting []crashWarning
	sending bool // a task sends them
	limiter *rate.Limiter
	clients map[string]*cowslippeer.Client
}

// add queues a warning. It reports whether the caller must start a task that sends them, and
// whether one had to make room.
func (q *warningQueue) add(w crashWarning) (start, dropped bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, w)
	if dropped = len(q.waiting) > maxCrashWarnings; dropped {
		q.waiting = slices.Delete(q.waiting, 0, 1)
	}
	start, q.sending = !q.sending, true
	return start, dropped
}

// more reports whether a warning waits. If none does, the task that sends them ends.
func (q *warningQueue) more() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sending = len(q.waiting) > 0
	return q.sending
}

// take removes the newest warning. One must wait.
func (q *warningQueue) take() crashWarning {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := len(q.waiting) - 1
	w := q.waiting[n]
	q.waiting = q.waiting[:n]
	return w
}

// client returns the client of the instance at an address.
func (q *warningQueue) client(e *Entry, addr string) *cowslippeer.Client {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.clients == nil {
		q.clients = map[string]*cowslippeer.Client{}
	}
	if q.clients[addr] == nil {
		q.clients[addr] = &cowslippeer.Client{Addr: addr, Dial: e.opts.Dial}
	}
	return q.clients[addr]
}

// retain closes the clients of instances that are not among the members.
func (q *warningQueue) retain(l []cowslipcontrol.Member) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for a, c := range q.clients {
		if !slices.ContainsFunc(l, func(m cowslipcontrol.Member) bool { return m.Addr == a }) {
			delete(q.clients, a)
			go c.Close()
		}
	}
}

// wait waits until one more warning may be sent.
func (q *warningQueue) wait(ctx context.Context) error {
	q.mu.Lock()
	if q.limiter == nil {
		q.limiter = rate.NewLimiter(crashWarningRate, crashWarningBurst)
	}
	l := q.limiter
	q.mu.Unlock()
	return l.Wait(ctx)
}
