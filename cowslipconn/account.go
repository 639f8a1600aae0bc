package cowslipconn

import (
	"cmp"
	"io"
	"slices"
	"sync"
	"time"
)

const (
	// defaultBase is the charge of a connection that has sent nothing. An idle connection of
	// net/http was measured to take 7 KiB, one whose body is being read 21 KiB.
	defaultBase = 16 << 10
	// connDivisor limits what one connection holds before its request is in progress to 1/4
	// of the bound, and what it may hold when the request begins to 1/4 of what those in
	// progress leave free, without the slack. So any number of large requests leaves room for small ones.
	connDivisor = 4
	// slackDivisor is the part of the bound that is freed at once when it is reached, so that
	// the connections are not searched for each new one.
	slackDivisor = 16
)

// Limits are the bounds of an Account. Zero means no bound.
type Limits struct {
	Bytes int64 // memory of all connections
	Conns int   // number of connections
	Base  int64 // memory of a connection that has sent nothing; 16 KiB if 0
}

// Account holds the charges of all connections of one port and decides which of them are
// closed when they exceed its limits. A connection with a request in progress is never
// closed. The zero Account has no limits. It is safe for concurrent use.
//
// Methods that return connections leave closing them to the caller. Such connections have
// left the account.
type Account struct {
	limits Limits

	mu           sync.Mutex
	held         int64
	conns        int
	runningHeld  int64 // part of held whose requests or writes are in progress
	runningConns int
	clients      map[string]*client // by address
}

// client is one address from which connections come.
type client struct {
	addr    string
	held    int64
	charges map[*Charge]struct{}
}

// NewAccount creates an Account.
func NewAccount(l Limits) *Account { return &Account{limits: l} }

// Usage is the state of an Account.
type Usage struct {
	Bytes   int64 `json:"bytes"`   // charged to all connections
	Conns   int   `json:"conns"`   // open connections
	Running int   `json:"running"` // connections with a request or a write in progress
}

// Usage returns the current state.
func (a *Account) Usage() Usage {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Usage{Bytes: a.held, Conns: a.conns, Running: a.runningConns}
}

// Open charges a new connection from an address and returns the connections that must be
// closed for it. The charge is nil if all others have requests in progress.
func (a *Account) Open(now time.Time, addr string, conn io.Closer) (*Charge, []io.Closer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.clients == nil {
		a.clients = map[string]*client{}
	}
	k := a.clients[addr]
	if k == nil {
		k = &client{addr: addr, charges: map[*Charge]struct{}{}}
		a.clients[addr] = k
	}
	c := &Charge{conn: conn, client: k, since: now}
	k.charges[c] = struct{}{}
	a.conns++
	a.add(c, a.base())
	l := a.makeRoom(now, c, nil)
	if a.exceeds(0) {
		a.remove(c)
		return nil, l
	}
	return c, l
}

// Read charges n bytes for a part of a request that was read, and returns the connections
// that must be closed for it. It reports whether the connection itself may stay open.
func (a *Account) Read(now time.Time, c *Charge, n int64) (bool, []io.Closer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return false, nil
	}
	if c.running > 0 {
		// What a request in progress reads is counted where it is held.
		return true, nil
	}
	if c.read == 0 && c.served {
		c.since = now
	}
	c.read += n
	a.add(c, n)
	if a.limits.Bytes > 0 && c.held > a.limits.Bytes/connDivisor {
		a.remove(c)
		return false, nil
	}
	l := a.makeRoom(now, nil, c)
	if !c.closed && a.exceeds(0) {
		a.remove(c)
	}
	return !c.closed, slices.DeleteFunc(l, func(x io.Closer) bool { return x == c.conn })
}

// Decision is the answer of Account.Begin.
type Decision int

// Decisions about a request that was read.
const (
	Admitted Decision = iota // it may run
	Closed                   // its connection has been closed; it must not run, as nobody gets the answer
	Full                     // the requests in progress leave too little memory or too few connections for it
)

// Begin decides whether a request that was read may run. If so, its connection stays open
// until End.
func (a *Account) Begin(c *Charge) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c.closed {
		return Closed
	}
	if !c.busy() && a.full(c) {
		return Full
	}
	a.setBusy(c, 1, 0)
	return Admitted
}

// full reports whether the requests in progress leave too little for another one.
func (a *Account) full(c *Charge) bool {
	l := a.limits
	return l.Bytes > 0 && c.held > (l.Bytes-l.Bytes/slackDivisor-a.runningHeld)/connDivisor || l.Conns > 0 && a.runningConns >= l.Conns-l.Conns/slackDivisor
}

// End ends a request that Begin admitted. What it held is released.
func (a *Account) End(now time.Time, c *Charge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setBusy(c, -1, 0)
	a.release(now, c)
}

// Refused ends a request that was answered without Begin. What it held is released.
func (a *Account) Refused(now time.Time, c *Charge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.release(now, c)
}

func (a *Account) release(now time.Time, c *Charge) {
	if c.running > 0 || c.closed {
		return
	}
	a.add(c, -c.read)
	c.read, c.served, c.since = 0, true, now
}

// Write charges n bytes that wait to be written and keeps the connection open until Written.
func (a *Account) Write(now time.Time, c *Charge, n int64) []io.Closer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setBusy(c, 0, 1)
	if c.closed || n == 0 {
		return nil
	}
	a.add(c, n)
	return a.makeRoom(now, nil, nil)
}

// Written ends a Write.
func (a *Account) Written(c *Charge, n int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.setBusy(c, 0, -1)
	if !c.closed {
		a.add(c, -n)
	}
}

// Close releases what a connection holds. Further calls have no effect.
func (a *Account) Close(c *Charge) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(c)
}

func (a *Account) base() int64 { return cmp.Or(a.limits.Base, defaultBase) }

// setBusy changes the numbers of requests and writes in progress.
func (a *Account) setBusy(c *Charge, running, writing int) {
	before := c.busy()
	c.running += running
	c.writing += writing
	switch {
	case c.closed || c.busy() == before:
	case before:
		a.runningConns--
		a.runningHeld -= c.held
	default:
		a.runningConns++
		a.runningHeld += c.held
	}
}

// add changes what a connection is charged.
func (a *Account) add(c *Charge, n int64) {
	c.held += n
	c.client.held += n
	a.held += n
	if c.busy() {
		a.runningHeld += n
	}
}

// remove takes a connection out of the account.
func (a *Account) remove(c *Charge) {
	if c.closed {
		return
	}
	a.add(c, -c.held)
	if c.busy() {
		a.runningConns--
	}
	c.closed = true
	a.conns--
	delete(c.client.charges, c)
	if len(c.client.charges) == 0 {
		delete(a.clients, c.client.addr)
	}
}

// exceeds reports whether the connections exceed the limits, lowered by a slack of
// 1/slackDivisor for each unit of slack.
func (a *Account) exceeds(slack int) bool {
	l := a.limits
	return l.Bytes > 0 && a.held > l.Bytes-l.Bytes/slackDivisor*int64(slack) || l.Conns > 0 && a.conns > l.Conns-l.Conns/slackDivisor*slack
}

// makeRoom takes connections out of the account if it exceeds its limits, and returns them.
// It takes those of the address that holds the most first, never keep, and last only if the
// account exceeds its limits without a slack.
func (a *Account) makeRoom(now time.Time, keep, last *Charge) []io.Closer {
	if !a.exceeds(0) {
		return nil
	}
	candidates := map[*client][]*Charge{}
	for _, k := range a.clients {
		var l []*Charge
		for c := range k.charges {
			if !c.busy() && c != keep {
				l = append(l, c)
			}
		}
		if len(l) > 0 {
			slices.SortFunc(l, func(x, y *Charge) int { return cmp.Compare(x.weight(now), y.weight(now)) })
			candidates[k] = l
		}
	}
	var closed []io.Closer
	for len(candidates) > 0 && a.exceeds(1) {
		var most *client
		for k := range candidates {
			if most == nil || k.held > most.held {
				most = k
			}
		}
		l := candidates[most]
		c := l[len(l)-1]
		if c == last && !a.exceeds(0) {
			break
		}
		if candidates[most] = l[:len(l)-1]; len(l) == 1 {
			delete(candidates, most)
		}
		a.remove(c)
		closed = append(closed, c.conn)
	}
	return closed
}
