package main

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, as the pages spell it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Rev            uint64 `json:"rev"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type lease struct {
	ttl  time.Duration
	ends time.Time
}

// state is all that the store holds. A copy of it is what a drill goes back to.
type state struct {
	at      time.Time
	rev     uint64
	items   map[string]item
	leases  map[uint64]lease
	history []item
}

const (
	copyInterval = 250 * time.Millisecond
	copiesKept   = 20 * time.Second
	pageItems    = 500
)

// store is a stand-in for the platform's metadata store.
type store struct {
	addr      string
	listener  net.Listener
	server    *http.Server
	mu        sync.Mutex
	state     state
	copies    []state
	nextLease uint64
	era       int
	changed   chan struct{}
	away      bool
	// refuse, if set, says whether a call is answered with 503 and not carried out.
	refuse func(r *http.Request) bool
}

func newStore() *store {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s := &store{addr: l.Addr().String(), nextLease: 77000, era: 1, changed: make(chan struct{})}
	s.state = state{rev: 100, items: map[string]item{}, leases: map[uint64]lease{}}
	s.serve(l)
	go func() {
		for range time.Tick(copyInterval) {
			s.tick()
		}
	}()
	return s
}

func (s *store) serve(l net.Listener) {
	s.listener = l
	s.server = &http.Server{Handler: s}
	go s.server.Serve(l)
}

func (s *store) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return
	}
	now := time.Now()
	for id, l := range s.state.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	s.copies = append(s.copies, s.state.clone(now))
	s.copies = slices.DeleteFunc(s.copies, func(c state) bool { return now.Sub(c.at) > copiesKept })
}

func (c state) clone(now time.Time) state {
	return state{at: now, rev: c.rev, items: maps.Clone(c.items), leases: maps.Clone(c.leases), history: slices.Clone(c.history)}
}

// drill takes the store away for a moment and brings it back from a copy of the given age.
func (s *store) drill(away, age time.Duration) (before, after uint64) {
	s.mu.Lock()
	s.away = true
	now := time.Now()
	before = s.state.rev
	var c state
	for _, x := range s.copies {
		if now.Sub(x.at) >= age {
			c = x
		}
	}
	s.mu.Unlock()
	s.server.Close()
	time.Sleep(away)
	s.mu.Lock()
	left := time.Now()
	restored := c.clone(left)
	// What was left of the leases when the copy was made is left of them now.
	for id, l := range restored.leases {
		l.ends = left.Add(max(l.ends.Sub(c.at), time.Second))
		restored.leases[id] = l
	}
	s.state, s.copies, s.away = restored, nil, false
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
	after = s.state.rev
	s.mu.Unlock()
	l, err := net.Listen("tcp", s.addr)
	check(err)
	s.serve(l)
	return before, after
}

func (s *store) endLease(id uint64) {
	delete(s.state.leases, id)
	var keys []string
	for k, i := range s.state.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) > 0 {
		s.commit(nil, keys)
	}
}

// commit applies one change. The lock must be held.
func (s *store) commit(puts []item, deletes []string) uint64 {
	c := &s.state
	c.rev++
	for _, p := range puts {
		p.Rev, p.CreateRevision = c.rev, c.rev
		if o, ok := c.items[p.Key]; ok {
			p.CreateRevision = o.CreateRevision
		}
		c.items[p.Key] = p
		c.history = append(c.history, p)
	}
	for _, k := range deletes {
		if _, ok := c.items[k]; ok {
			delete(c.items, k)
			c.history = append(c.history, item{Key: k, Rev: c.rev, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return c.rev
}

// put writes a key for the operator or a replica. It reports whether the store was there.
func (s *store) put(key string, v any) bool {
	b, err := json.Marshal(v)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.commit([]item{{Key: key, Value: b}}, nil)
	return true
}

func (s *store) remove(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.commit(nil, []string{key})
	return true
}

func (s *store) get(key string) (item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.state.items[key]
	return i, ok
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.rev
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away, refuse := s.away, s.refuse
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if away {
		panic(http.ErrAbortHandler)
	}
	if refuse != nil && refuse(r) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch p := r.URL.Path; {
	case p == "/kv-key":
		i, ok := s.get(q.Get("key"))
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, struct {
			item
			StoreRevision uint64 `json:"storeRevision"`
		}{i, s.revision()})
	case p == "/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case p == "/kv-watch":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("waitMs"))
		s.serveWatch(r.Context(), w, q.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
	case p == "/kv-txn":
		s.serveTransaction(w, r)
	case p == "/kv-lease":
		var x struct {
			TTLMs int64 `json:"ttlMs"`
		}
		check(json.NewDecoder(r.Body).Decode(&x))
		ttl := time.Duration(max(x.TTLMs, 1000)) * time.Millisecond
		s.mu.Lock()
		s.nextLease++
		id := s.nextLease
		s.state.leases[id] = lease{ttl: ttl, ends: time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, map[string]any{"lease": id, "ttlMs": ttl.Milliseconds()})
	case strings.HasPrefix(p, "/kv-keep/"), strings.HasPrefix(p, "/kv-lease-end/"):
		id, _ := strconv.ParseUint(p[strings.LastIndex(p, "/")+1:], 10, 64)
		s.mu.Lock()
		l, ok := s.state.leases[id]
		switch {
		case !ok:
		case strings.HasPrefix(p, "/kv-keep/"):
			l.ends = time.Now().Add(l.ttl)
			s.state.leases[id] = l
		default:
			s.endLease(id)
		}
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, map[string]any{"ttlMs": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Write(b)
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := struct {
		Items         []item `json:"items"`
		HasMore       bool   `json:"hasMore"`
		StoreRevision uint64 `json:"storeRevision"`
	}{Items: []item{}, StoreRevision: s.state.rev}
	for _, k := range slices.Sorted(maps.Keys(s.state.items)) {
		if !strings.HasPrefix(k, prefix) || k <= after {
			continue
		}
		if len(p.Items) == pageItems {
			p.HasMore = true
			break
		}
		p.Items = append(p.Items, s.state.items[k])
	}
	answer(w, p)
}

func (s *store) serveWatch(ctx context.Context, w http.ResponseWriter, prefix string, after uint64, wait time.Duration) {
	end := time.After(wait)
	for {
		s.mu.Lock()
		if after > s.state.rev {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, i := range s.state.history {
			if i.Rev > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		rev, c := s.state.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-c:
		case <-ctx.Done():
			return
		case <-end:
			answer(w, map[string]any{"events": events, "storeRevision": rev})
			return
		}
	}
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Puts    []item   `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	check(json.NewDecoder(r.Body).Decode(&t))
	s.mu.Lock()
	defer s.mu.Unlock()
	current := []item{}
	met := true
	for _, c := range t.Precondition {
		i, ok := s.state.items[c.Key]
		if ok {
			current = append(current, i)
		}
		met = met && i.Rev == c.Rev
	}
	if !met {
		w.WriteHeader(http.StatusPreconditionFailed)
		answer(w, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.state.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	answer(w, map[string]any{"rev": s.commit(t.Puts, t.Deletes)})
}
