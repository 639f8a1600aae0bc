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

// errStopped says that the control loop has ended.
const errStopped = errors.ConstError("cowslipentry: stopped")

// peerLoop exchanges state with the peers that addrs names at an interval, and at
// once when something must spread.
func (e *Entry) peerLoop(addrs func() map[string]string) {
	clients := map[string]*cowslippeer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	var busy sync.Map
	for e.life.Err() == nil {
		for id, addr := range addrs() {
			k := clients[addr]
			if k == nil {
				k = &cowslippeer.Client{Addr: addr, Dial: e.o.Dial}
				clients[addr] = k
			}
			if _, b := busy.LoadOrStore(addr, true); b {
				continue
			}
			e.later.Go(func() {
				defer busy.Delete(addr)
				e.exchange(e.life, k, id)
			})
		}
		select {
		case <-e.life.Done():
		case <-e.push:
		case <-e.clock.After(exchangeInterval):
		}
	}
}

// peerAddrs gives peers' addresses by ID; a seed not known by ID stands under
// its address.
func (e *Entry) peerAddrs() map[string]string {
	m := map[string]string{}
	known := map[string]bool{e.o.Advertise: true}
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		for _, p := range c.Peers() {
			m[p.ID] = p.Addr
			known[p.Addr] = true
		}
	})
	for _, s := range e.o.Seeds {
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
	s.Stamp = stampMessage(e.events.Now())
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
	e.events.Observe(messageStamp(r.GetStamp()))
	e.metrics.exchanges.Add(1)
	e.do(func(now time.Time, c *cowslipcontrol.Control) { c.Message(now, start, r) })
}

// exchangeAll tells all peers once, at shutdown.
func (e *Entry) exchangeAll(ctx context.Context) {
	var w sync.WaitGroup
	for id, addr := range e.peerAddrs() {
		w.Go(func() {
			k := &cowslippeer.Client{Addr: addr, Dial: e.o.Dial}
			defer k.Close()
			e.exchange(ctx, k, id)
		})
	}
	w.Wait()
}

func (e *Entry) onExchange(_ context.Context, m *cowslipmessage.State) (*cowslipmessage.State, error) {
	e.events.Observe(messageStamp(m.GetStamp()))
	var s *cowslipmessage.State
	ok := e.do(func(now time.Time, c *cowslipcontrol.Control) {
		c.Message(now, time.Time{}, m)
		s = c.State(now, m.GetId())
	})
	if !ok {
		return nil, errStopped
	}
	s.Stamp = stampMessage(e.events.Now())
	return s, nil
}

func (e *Entry) onEvents(_ context.Context, r *cowslipmessage.EventsRequest) (*cowslipmessage.EventsReply, error) {
	e.events.Observe(messageStamp(r.GetStamp()))
	p := &cowslipmessage.EventsReply{}
	for _, v := range e.events.Events() {
		p.Events = append(p.Events, &cowslipmessage.Event{Stamp: stampMessage(v.Stamp), Instance: v.Instance, Kind: v.Kind, Subject: v.Subject, Detail: v.Detail})
	}
	p.Stamp = stampMessage(e.events.Now())
	return p, nil
}

// Timeline is the merged time line of all instances that answered.
type Timeline struct {
	Events  []cowslipevent.Event `json:"events"`
	Missing []string             `json:"missing"` // instances that did not answer
}

// timeline merges the rings of all peers with the own one.
func (e *Entry) timeline(ctx context.Context) Timeline {
	t, cancel := context.WithTimeout(ctx, eventsTimeout)
	defer cancel()
	l := Timeline{Missing: []string{}}
	rings := [][]cowslipevent.Event{e.events.Events()}
	var mu sync.Mutex
	var w sync.WaitGroup
	for id, addr := range e.peerAddrs() {
		w.Go(func() {
			k := &cowslippeer.Client{Addr: addr, Dial: e.o.Dial}
			defer k.Close()
			r, err := k.Events(t, &cowslipmessage.EventsRequest{Stamp: stampMessage(e.events.Now())})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				l.Missing = append(l.Missing, id)
				return
			}
			rings = append(rings, eventsOf(r))
		})
	}
	w.Wait()
	l.Events = cowslipevent.Merge(rings...)
	return l
}

func eventsOf(r *cowslipmessage.EventsReply) []cowslipevent.Event {
	var l []cowslipevent.Event
	for _, v := range r.GetEvents() {
		l = append(l, cowslipevent.Event{Stamp: messageStamp(v.GetStamp()), Instance: v.GetInstance(), Kind: v.GetKind(), Subject: v.GetSubject(), Detail: v.GetDetail()})
	}
	return l
}

func stampMessage(s cowslipevent.Stamp) *cowslipmessage.Stamp {
	return &cowslipmessage.Stamp{WallNanos: s.Wall, Logical: s.Logical}
}

func messageStamp(s *cowslipmessage.Stamp) cowslipevent.Stamp {
	return cowslipevent.Stamp{Wall: s.GetWallNanos(), Logical: s.GetLogical()}
}
