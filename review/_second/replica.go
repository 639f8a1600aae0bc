package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is a stand-in for a replica. It counts the requests that it began to run.
type target struct {
	id, service, zone, version, addr string
	slots                            int
	work                             func(r *http.Request) time.Duration // how long a request takes
	sequence                         int

	mu   sync.Mutex
	runs map[string]int // by request ID
}

// newTarget starts a replica on a free port and registers it.
func newTarget(s *kvStore, id, service, zone string, slots int, work func(*http.Request) time.Duration) (*target, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	t := &target{id: id, service: service, zone: zone, version: "v1", addr: l.Addr().String(), slots: slots, work: work, runs: map[string]int{}}
	h := &http.Server{Handler: http.HandlerFunc(t.serve)}
	go func() { _ = h.Serve(l) }()
	t.register(s, "ready")
	return t, nil
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
	t.mu.Lock()
	t.runs[id]++
	t.mu.Unlock()
	if d := t.work(r); d > 0 {
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("X-Server-Stamp", t.id+"."+id)
	_, _ = w.Write([]byte("done " + id))
}

// ran returns how often the replica began to run a request.
func (t *target) ran(id string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.runs[id]
}
