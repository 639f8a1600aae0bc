package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// replica is a sound replica of one service, as PROTOCOL.md describes it.
type replica struct {
	id, service, zone string
	version           string
	slots             int
	least, most       time.Duration // work of one request
	fails             func() bool   // whether the answer to a request that has run is a failure; nil for never

	addr    string
	server  *http.Server
	record  *record
	running atomic.Int64
	waiting atomic.Int64
	slot    chan struct{}

	mu   sync.Mutex
	runs map[string]int // by request ID
}

func (r *replica) start(s *store) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r.addr, r.slot, r.runs = l.Addr().String(), make(chan struct{}, r.slots), map[string]int{}
	r.server = &http.Server{Handler: r}
	go r.server.Serve(l)
	b, err := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": r.version, "concurrency": r.slots,
		"state": "ready", "warmupLeftMs": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	s.put("servers/"+r.id, b)
	return nil
}

// stop ends the replica at once and removes its entry.
func (r *replica) stop(s *store) {
	r.server.Close()
	s.delete("servers/" + r.id)
}

// ran returns how often the replica has begun to run a request.
func (r *replica) ran(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	h, id := w.Header(), q.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("Keep-Alive", "timeout=30")
	refuse := func(status int) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(status)
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	switch {
	case id == "":
		refuse(http.StatusBadRequest)
		return
	case q.Header.Get("X-Expect-Instance") != "" && q.Header.Get("X-Expect-Instance") != r.id:
		refuse(http.StatusMisdirectedRequest)
		return
	}
	if r.waiting.Add(1) > int64(4*r.slots) {
		r.waiting.Add(-1)
		refuse(http.StatusServiceUnavailable)
		return
	}
	select {
	case r.slot <- struct{}{}:
		r.waiting.Add(-1)
	case <-q.Context().Done():
		r.waiting.Add(-1)
		return
	}
	defer func() { <-r.slot }()
	r.mu.Lock()
	r.runs[id]++
	r.mu.Unlock()
	r.record.line("run", id, "by "+r.id+" of "+r.service)
	n := r.running.Add(1)
	defer r.running.Add(-1)
	select {
	case <-time.After(r.least + rand.N(r.most-r.least+1)):
	case <-q.Context().Done():
		r.record.line("run cut", id, "by "+r.id)
		return
	}
	h.Set("X-Server-Stamp", r.id+"."+id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", n, r.waiting.Load(), r.slots))
	if r.fails != nil && r.fails() {
		w.WriteHeader(http.StatusInternalServerError)
	}
	io.WriteString(w, "answer of "+r.service)
}
