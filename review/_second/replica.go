package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// target is a stand-in for a replica. It counts the requests that it began to run.
type target struct {
	id, service, zone, version, addr string
	slots                            int
	work                             func(r *http.Request) time.Duration  // how long a request takes
	fails                            func(r *http.Request, busy int) bool // whether it fails, given how many ran when it began, itself included; nil if none does
	sequence                         int
	server                           *http.Server

	mu     sync.Mutex
	busy   int            // requests that it runs
	runs   map[string]int // by request ID
	began  []time.Time    // when each run began
	failed []time.Time    // when each failure was answered
}

// newTarget starts a replica on a free port and registers it.
func newTarget(s *kvStore, id, service, zone string, slots int, work func(*http.Request) time.Duration) (*target, error) {
	t := &target{id: id, service: service, zone: zone, version: "v1", slots: slots, work: work}
	if err := t.start(); err != nil {
		return nil, err
	}
	t.register(s, "ready")
	return t, nil
}

// start starts to serve on a free port.
func (t *target) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	t.addr, t.runs = l.Addr().String(), map[string]int{}
	t.server = &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = t.server.Serve(l) }()
	return nil
}

// stop ends the replica at once, with the requests that it runs, and removes its entry.
func (t *target) stop(s *kvStore) {
	// The error is ignored: the listener is closed in any case.
	_ = t.server.Close()
	s.remove("servers/" + t.id)
}

func (t *target) register(s *kvStore, state string) {
	t.sequence++
	// Marshaling a map of plain values cannot fail.
	b, _ := json.Marshal(map[string]any{
		"service": t.service, "address": t.addr, "zone": t.zone, "version": t.version, "concurrency": t.slots,
		"state": state, "warmupLeftMs": 0, "sequence": t.sequence, "born": time.Now().UnixMilli(),
	})
	s.put("servers/"+t.id, b)
}

func (t *target) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	w.Header().Set("X-Server-Load", "1,0,"+strconv.Itoa(t.slots))
	if e := r.Header.Get("X-Expect-Instance"); e != "" && e != t.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	busy := t.begin(id)
	defer t.end()
	if d := t.work(r); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("X-Server-Stamp", t.id+"."+id)
	if t.fails != nil && t.fails(r, busy) {
		t.mu.Lock()
		t.failed = append(t.failed, time.Now())
		t.mu.Unlock()
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = w.Write([]byte("done " + id))
}

// begin counts a run and returns how many requests run now.
func (t *target) begin(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy++
	t.runs[id]++
	t.began = append(t.began, time.Now())
	return t.busy
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
}

// ran returns how often the replica began to run a request.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}

// counts returns how many runs began from one time to another, and how many failed in all.
func (t *target) counts(from, to time.Time) (runs, failures int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, b := range t.began {
		if !b.Before(from) && b.Before(to) {
			runs++
		}
	}
	return runs, len(t.failed)
}

// failedAt returns when the replica has answered with failures.
func (t *target) failedAt() []time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.failed)
}
