package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	pageItems      = 500 // items of one page of a listing
	watchEvents    = 500 // events in one reply to a watch
	kvTickInterval = 5 * time.Millisecond
)

// kvItem is an item of the store as PROTOCOL.md names its fields.
type kvItem struct {
	Key            string `json:"key"`
	Value          []byte `json:"value"`
	Rev            uint64 `json:"rev"`
	CreateRevision uint64 `json:"createRevision"`
	Lease          uint64 `json:"lease"`
}

// kvEvent is a change: an item as it was written, or the removal of its key.
type kvEvent struct {
	kvItem
	Removed bool `json:"removed,omitempty"`
}

// kvStore is a stand-in for the platform's store.
type kvStore struct {
	addr string

	mu      sync.Mutex
	rev     uint64
	items   map[string]kvItem
	history []kvEvent
	leases  map[uint64]*kvLease
	nextID  uint64

	silent atomic.Bool // calls get no answer
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

// newKVStore starts a store on a free port.
func newKVStore() (*kvStore, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &kvStore{addr: l.Addr().String(), rev: 1, items: map[string]kvItem{}, leases: map[uint64]*kvLease{}}
	m := http.NewServeMux()
	m.HandleFunc("GET /kv-key", s.getKey)
	m.HandleFunc("GET /kv-range", s.getRange)
	m.HandleFunc("GET /kv-watch", s.watch)
	m.HandleFunc("POST /kv-txn", s.postTxn)
	m.HandleFunc("POST /kv-lease", s.postLease)
	m.HandleFunc("POST /kv-keep/{id}", s.keepLease)
	m.HandleFunc("DELETE /kv-lease-end/{id}", s.endLease)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silent.Load() {
			<-r.Context().Done()
			return
		}
		m.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, h) }()
	return s, nil
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// put writes a key as the operator or a target does, regardless of its revision.
func (s *kvStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.write(key, value, 0)
}

// remove deletes a key as the operator or a target does.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.drop(key)
}

func (s *kvStore) get(key string) (kvItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i, ok
}

func (s *kvStore) write(key string, value []byte, lease uint64) {
	i := kvItem{Key: key, Value: value, Rev: s.rev, CreateRevision: s.rev, Lease: lease}
	if o, ok := s.items[key]; ok {
		i.CreateRevision = o.CreateRevision
	}
	s.items[key] = i
	s.history = append(s.history, kvEvent{kvItem: i})
}

func (s *kvStore) drop(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, kvEvent{kvItem: kvItem{Key: key, Rev: s.rev}, Removed: true})
	}
}

// expire removes the keys of the leases that have ended. The caller holds the lock.
func (s *kvStore) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.removeLease(id)
		}
	}
}

func (s *kvStore) removeLease(id uint64) {
	delete(s.leases, id)
	s.rev++
	for k, i := range s.items {
		if i.Lease == id {
			s.drop(k)
		}
	}
}

func (s *kvStore) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, ok := s.items[r.FormValue("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"storeRevision": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		kvItem
		StoreRevision uint64 `json:"storeRevision"`
	}{i, s.rev})
}

func (s *kvStore) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := []kvItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, r.FormValue("prefix")) && k > r.FormValue("after") {
			l = append(l, i)
		}
	}
	sort.Slice(l, func(a, b int) bool { return l[a].Key < l[b].Key })
	more := len(l) > pageItems
	reply(w, http.StatusOK, map[string]any{"items": l[:min(len(l), pageItems)], "hasMore": more, "storeRevision": s.rev})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		l, rev := s.eventsAfter(r.FormValue("prefix"), after), s.rev
		s.mu.Unlock()
		if len(l) > watchEvents {
			l = l[:watchEvents]
			rev = l[len(l)-1].Rev
		}
		if len(l) > 0 || !time.Now().Before(end) {
			reply(w, http.StatusOK, map[string]any{"events": l, "storeRevision": rev})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(kvTickInterval):
		}
	}
}

func (s *kvStore) eventsAfter(prefix string, after uint64) []kvEvent {
	l := []kvEvent{}
	n, _ := slices.BinarySearchFunc(s.history, after+1, func(e kvEvent, rev uint64) int { return int(int64(e.Rev) - int64(rev)) })
	for n > 0 && s.history[n-1].Rev > after {
		n--
	}
	for _, e := range s.history[n:] {
		if strings.HasPrefix(e.Key, prefix) {
			l = append(l, e)
		}
	}
	return l
}

func (s *kvStore) postTxn(w http.ResponseWriter, r *http.Request) {
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
		reply(w, http.StatusBadRequest, map[string]any{"error": err.Error()})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, p := range x.Precondition {
		if s.items[p.Key].Rev != p.Rev {
			l := []kvItem{}
			for _, q := range x.Precondition {
				if i, ok := s.items[q.Key]; ok {
					l = append(l, i)
				}
			}
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": l})
			return
		}
	}
	for _, p := range x.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
			return
		}
	}
	s.rev++
	for _, p := range x.Puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, k := range x.Deletes {
		s.drop(k)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *kvStore) postLease(w http.ResponseWriter, r *http.Request) {
	var x struct {
		TTLMs int64 `json:"ttlMs"`
	}
	_ = json.NewDecoder(r.Body).Decode(&x)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	d := time.Duration(max(x.TTLMs, 1000)) * time.Millisecond
	s.leases[s.nextID] = &kvLease{ttl: d, end: time.Now().Add(d)}
	reply(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttlMs": d.Milliseconds()})
}

func (s *kvStore) keepLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *kvStore) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, map[string]any{"error": "no such lease"})
		return
	}
	s.removeLease(id)
	reply(w, http.StatusOK, map[string]any{})
}
