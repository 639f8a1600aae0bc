package cowslipentry

import (
	"context"
	"sync"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipevent"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"

	"github.com/juju/errors"
)

const (
	exchangeInterval = 500 * time.Millisecond
	exchangeTimeout  = time.Second
	eventsTimeout    = 2 * time.Second
)

// errStopped means that the control loop has ended.
const errStopped = errors.ConstError("cowslipentry: stopped")

// exchangeLoop exchanges state with the peers that addrs returns, once per
// exchangeInterval and immediately when a change must spread quickly.
func (e *Entry) exchangeLoop(addrs func() map[string]string) {
	clients := map[string]*cowslippeer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	due := map[string]*dueExchange{} // by address
	for e.ctx.Err() == nil {
		for id, addr := range addrs() {
			k := clients[addr]
			if k == nil {
				k = &cowslippeer.Client{Addr: addr, Dial: e.opts.Dial}
				clients[addr] = k
				due[addr] = &dueExchange{}
			}
			if d := due[addr]; d.request() {
				e.background.Go(func() {
					for more := true; more && e.ctx.Err() == nil; more = d.finish() {
						e.exchange(e.ctx, k, id)
					}
				})
			}
		}
		select {
		case <-e.ctx.Done():
		case <-e.exchangeNow:
		case <-e.clock.After(exchangeInterval):
		}
	}
}

// dueExchange lets one exchange at a time run with a peer. An exchange that is requested
// meanwhile runs afterwards, since the one that is running may carry an older state.
// The zero value is ready to use; it is safe for concurrent use.
type dueExchange struct {
	mu             sync.Mutex
	running, again bool
}

// request reports whether the caller must run the exchange now.
func (d *dueExchange) request() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running {
		d.again = true
		return false
	}
	d.running = true
	return true
}

// finish reports whether the caller must run the exchange once more.
func (d *dueExchange) finish() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running, d.again = d.again, false
	return d.running
}

// peerAddrs returns the addresses of the peers by ID. A seed whose ID is unknown has
// its address as the key.
func (e *Entry) peerAddrs() map[string]string {
	m := map[string]string{}
	known := map[string]bool{e.opts.Advertise: true}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		for _, p := range c.Peers() {
			m[p.ID] = p.Addr
			known[p.Addr] = true
		}
	})
	for _, s := range e.opts.Seeds {
		if !known[s] {
			m[s] = s
		}
	}
	return m
}

func (e *Entry) exchange(ctx context.Context, k *cowslippeer.Client, id string) {
	var s *cowslipmessage.State
	if !e.do(func(now time.Time, c *cowslipcontrol.Control) { s = c.State(now, id) }) {
		return
	}
	s.Stamp = encodeStamp(e.events.Now())
	start := e.clock.Now()
	t, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	r, err := k.Exchange(t, s)
	if err != nil {
		e.do(func(now time.Time, c *cowslipcontrol.Control) {
			c.PeerFailed(now, id, cowslippeer.IsConnectionRefused(err))
		})
		return
	}
	e.events.Observe(decodeStamp(r.GetStamp()))
	e.metrics.exchanges.Add(1)
	e.do(func(now time.Time, c *cowslipcontrol.Control) { c.Message(now, start, r) })
}

// exchangeAll exchanges state with all peers once. It is used at shutdown.
func (e *Entry) exchangeAll(ctx context.Context) {
	var w sync.WaitGroup
	for id, addr := range e.peerAddrs() {
		w.Go(func() {
			k := &cowslippeer.Client{Addr: addr, Dial: e.opts.Dial}
			defer k.Close()
			e.exchange(ctx, k, id)
		})
	}
	w.Wait()
}

func (e *Entry) onExchange(_ context.Context, m *cowslipmessage.State) (*cowslipmessage.State, error) {
	e.events.Observe(decodeStamp(m.GetStamp()))
	var s *cowslipmessage.State
	ok := e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.Message(now, time.Time{}, m)
		s = c.State(now, m.GetId())
	})
	if !ok {
		return nil, errStopped
	}
	s.Stamp = encodeStamp(e.events.Now())
	return s, nil
}

func (e *Entry) onEvents(_ context.Context, r *cowslipmessage.EventsRequest) (*cowslipmessage.EventsReply, error) {
	e.events.Observe(decodeStamp(r.GetStamp()))
	p := &cowslipmessage.EventsReply{}
	for _, v := range e.events.Events() {
		p.Events = append(p.Events, &cowslipmessage.Event{Stamp: encodeStamp(v.Stamp), Instance: v.Instance, Kind: v.Kind, Subject: v.Subject, Detail: v.Detail})
	}
	p.Stamp = encodeStamp(e.events.Now())
	return p, nil
}

// Timeline is the merged timeline of all instances that answered.
type Timeline struct {
	Events  []cowslipevent.Event `json:"events"`
	Missing []string             `json:"missing"` // instances that did not answer
}

// timeline merges the event rings of all peers with that of this instance.
func (e *Entry) timeline(ctx context.Context) Timeline {
	t, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	l := Timeline{Missing: []string{}}
	rings := [][]cowslipevent.Event{e.events.Events()}
	var mu sync.Mutex
	var w sync.WaitGroup
	for id, addr := range e.peerAddrs() {
		w.Go(func() {
			k := &cowslippeer.Client{Addr: addr, Dial: e.opts.Dial}
			defer k.Close()
			r, err := k.Events(t, &cowslipmessage.EventsRequest{Stamp: encodeStamp(e.events.Now())})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				l.Missing = append(l.Missing, id)
				return
			}
			rings = append(rings, eventsFromReply(r))
		})
	}
	w.Wait()
	l.Events = cowslipevent.Merge(rings...)
	return l
}

func eventsFromReply(r *cowslipmessage.EventsReply) []cowslipevent.Event {
	var l []cowslipevent.Event
	for _, v := range r.GetEvents() {
		l = append(l, cowslipevent.Event{Stamp: decodeStamp(v.GetStamp()), Instance: v.GetInstance(), Kind: v.GetKind(), Subject: v.GetSubject(), Detail: v.GetDetail()})
	}
	return l
}

func encodeStamp(s cowslipevent.Stamp) *cowslipmessage.Stamp {
	return &cowslipmessage.Stamp{WallNanos: s.Wall, Logical: s.Logical}
}

func decodeStamp(s *cowslipmessage.Stamp) cowslipevent.Stamp {
	return cowslipevent.Stamp{Wall: s.GetWallNanos(), Logical: s.GetLogical()}
}
