package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the platform's store, from PROTOCOL.md and the settings of the site.
const (
	historyTime  = 20 * time.Second
	maxPageItems = 500
	maxPageBytes = 1 << 20
	valueBytes   = 1 << 20
)

type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Rev            uint64 `json:"rev"`
	CreateRevision uint64 `json:"createRevision,omitempty"`
	Lease          uint64 `json:"lease"`
	Removed        bool   `json:"removed,omitempty"`
}

type event struct {
	item
	at time.Time
}

// store is a stand-in for the platform's store. It is linearizable, loses nothing and keeps
// historyTime of history.
type store struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	history   []event
	dropped   uint64 // all changes up to this revision have left the history
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
	addr      string
}

type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() (*store, error) {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.addr = l.Addr().String()
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.getKey)
	m.HandleFunc("GET /kv-range", s.getRange)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.commit)
	m.HandleFunc("POST /kv-lease", s.grant)
	m.HandleFunc("POST /kv-keep/{id}", s.keep)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	go http.Serve(l, m)
	return s, nil
}

// put writes a key as the operator or a replica does. Its return is the acknowledgement.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.notify()
}

// delete removes a key as the operator or a replica does.
func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.notify()
}

// value returns the value of a key, or nil.
func (s *store) value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

func (s *store) write(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.revision, CreateRevision: s.revision, Lease: lease}
	if o, ok := s.items[key]; ok {
		i.CreateRevision = o.CreateRevision
	}
	s.items[key] = i
	s.remember(i)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.remember(item{Key: key, Rev: s.revision, Removed: true})
}

func (s *store) remember(i item) {
	now := time.Now()
	s.history = append(s.history, event{i, now})
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyTime {
		s.dropped = s.history[0].Rev
		s.history = s.history[1:]
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(b)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	i, ok := s.items[r.FormValue("key")]
	rev := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]uint64{"storeRevision": rev})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision uint64 `json:"storeRevision"`
	}{i, rev})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, size, more := []item{}, 0, false
	for _, k := range keys {
		if len(page) > 0 && (len(page) == maxPageItems || size+len(s.items[k].Value) > maxPageBytes) {
			more = true
			break
		}
		page = append(page, s.items[k])
		size += len(s.items[k].Value)
	}
	rev := s.revision
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"items": page, "hasMore": more, "storeRevision": rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after < s.dropped {
			s.mu.Unlock()
			reply(w, http.StatusGone, struct{}{})
			return
		}
		events, size, rev := []item{}, 0, s.revision
		for _, e := range s.history {
			if e.Rev <= after || !strings.HasPrefix(e.Key, r.FormValue("prefix")) {
				continue
			}
			// A reply is as long as a page of a listing, and ends with a whole revision.
			if n := len(events); n > 0 && events[n-1].Rev != e.Rev && (n >= maxPageItems || size+len(e.Value) > maxPageBytes) {
				rev = events[n-1].Rev
				break
			}
			events = append(events, e.item)
			size += len(e.Value)
		}
		changed := s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, http.StatusOK, map[string]any{"events": events, "storeRevision": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, r *http.Request) {
	var x struct {
		Precondition []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := false
	now := []item{}
	for _, c := range x.Precondition {
		now = append(now, s.items[c.Key])
		conflict = conflict || s.items[c.Key].Rev != c.Rev
	}
	if conflict {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": now})
		return
	}
	for _, p := range x.Puts {
		switch {
		case p.Lease != 0 && s.leases[p.Lease] == nil:
			reply(w, http.StatusNotFound, struct{}{})
			return
		case strings.HasPrefix(p.Key, "op/"), strings.HasPrefix(p.Key, "servers/"), len(p.Value) > valueBytes:
			reply(w, http.StatusForbidden, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range x.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range x.Deletes {
		s.remove(k)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]uint64{"rev": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var x struct {
		TTLMs int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil || x.TTLMs < 1000 {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastLease++
	id := s.lastLease
	d := time.Duration(x.TTLMs) * time.Millisecond
	s.leases[id] = &lease{ttl: d, timer: time.AfterFunc(d, func() { s.expire(id) })}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": x.TTLMs})
}

func (s *store) expire(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for k, i := range s.items {
		if i.Lease == id {
			s.remove(k)
		}
	}
	s.notify()
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttlMs": l.ttl.Milliseconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.expire(id)
	reply(w, http.StatusOK, struct{}{})
}
