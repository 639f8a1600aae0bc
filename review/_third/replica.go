package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const heartbeat = 1200 * time.Millisecond

// replica is a stand-in for a back end. It does not run what is meant for another one.
type replica struct {
	id, service, zone, version string
	listener                   net.Listener
	server                     *http.Server
	store                      *store
	log                        *record
	born                       int64
	slots                      chan struct{}
	running, waiting           atomic.Int64
	work                       time.Duration
	// respond, if set, answers a request that has run, instead of the usual answer.
	respond func(w http.ResponseWriter, r *http.Request, stamp string) bool

	mu       sync.Mutex
	state    string
	sequence int
	ended    chan struct{}
}

func startReplica(s *store, l *record, id, service, zone, version string, slots int, work time.Duration) *replica {
	n, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	b := &replica{id: id, service: service, zone: zone, version: version, listener: n, store: s, log: l, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots), work: work, state: "ready", ended: make(chan struct{})}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(n)
	b.checkIn()
	go func() {
		t := time.NewTicker(heartbeat)
		for {
			select {
			case <-b.ended:
				return
			case <-t.C:
				b.checkIn()
			}
		}
	}()
	return b
}

func (b *replica) checkIn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	b.store.put("servers/"+b.id, map[string]any{
		"service": b.service, "address": b.listener.Addr().String(), "zone": b.zone, "version": b.version, "concurrency": cap(b.slots),
		"state": b.state, "warmupLeftMs": 0, "sequence": b.sequence, "born": b.born,
	})
}

// drain reports draining, serves for the given time, and exits.
func (b *replica) drain(serve time.Duration) {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.checkIn()
	time.Sleep(serve)
	close(b.ended)
	b.store.remove("servers/" + b.id)
	b.server.Close()
}

func (b *replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	h.Set("X-Instance-Id", b.id)
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), cap(b.slots)))
	if r.URL.Path == "/healthz" {
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != b.id {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	if b.state == "draining" {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	b.mu.Unlock()
	io.Copy(io.Discard, r.Body)
	left, _ := strconv.Atoi(r.Header.Get("X-Deadline-Ms"))
	b.waiting.Add(1)
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	case <-time.After(time.Duration(left) * time.Millisecond):
		b.waiting.Add(-1)
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.running.Add(1)
	defer func() { b.running.Add(-1); <-b.slots }()
	stamp := fmt.Sprintf("%s.%s.%08x", b.id, id, rand.Uint32())
	b.log.add("run", "id", id, "replica", b.id, "service", b.service, "zone", b.zone, "path", r.URL.Path)
	time.Sleep(b.work)
	if b.respond != nil && b.respond(w, r, stamp) {
		return
	}
	h.Set("X-Server-Stamp", stamp)
	fmt.Fprintf(w, "answer of %s to %s\n", b.service, id)
}
