package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	moveDuration  = 12 * time.Second // durationS of the order
	moveSettle    = 5 * time.Second  // of traffic before the order
	moveWatch     = 8 * time.Second  // after the time budget of the order
	drainDelay    = 3 * time.Second  // from rolled_back until the new replicas drain
	exposeShare   = 0.1
	exposeSlack   = 50
	pollInterval  = 10 * time.Millisecond
	quietServices = 50 // of two replicas each, as the shards of smut-valpo
)

// moveConfiguration returns the configuration of a deployment of the size of smut-valpo: beside the
// service that is moved, 50 more, to which no requests come.
func moveConfiguration() []byte {
	b := fmt.Append(nil, `{"version":7,"routes":[
{"name":"r1","host":"h.example","prefix":"/b/","type":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"attempts":2,"service":"s1"},
{"name":"r2","host":"h.example","prefix":"/c/","type":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"attempts":2,"service":"s1"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":10000,"idleTimeoutMs":60000},
"services":[{"name":"s1","healthPath":"/healthz","maxConnections":110,"warmupS":0,"warmupPerS":0}`)
	for n := range quietServices {
		b = fmt.Appendf(b, `,{"name":"p%d","healthPath":"/healthz","maxConnections":26,"warmupS":0,"warmupPerS":0}`, n)
	}
	return append(b, "]}"...)
}

// moveFleet is a deployment in which a service is moved to a new version.
type moveFleet struct {
	*run
	name       string
	rates      map[string]float64                                    // requests a second, by path prefix
	fails      func(path string, since time.Duration, busy int) bool // whether the new version fails, by the time since the order and by how many requests a replica runs; nil if it never does
	ordered    time.Time
	statuses   []string // that the store has shown
	store      *kvStore
	before     []*target // of the old version
	after      []*target
	quiet      *target // listens for all replicas of the other services
	mu         sync.Mutex
	instances  []*instance
	quit       chan bool
	requesters sync.WaitGroup
	answers    answerCounts
}

// answerCounts counts the answers by route and status.
type answerCounts struct {
	mu sync.Mutex
	n  map[string]int
}

func (c *answerCounts) add(route string, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.n == nil {
		c.n = map[string]int{}
	}
	c.n[fmt.Sprint(route, " ", status)]++
}

func (c *answerCounts) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n = nil
}

// String returns the counts.
func (c *answerCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.n)
}

// playMoves plays a move in each of some deployments side by side. It returns an error that says
// that the rule was broken if it was in any of them.
func playMoves(count int, play func(n int) error) error {
	errs := make([]error, count)
	var g sync.WaitGroup
	for n := range errs {
		g.Go(func() { errs[n] = play(n) })
	}
	g.Wait()
	var broken error
	for _, err := range errs {
		switch {
		case errors.Is(err, errBroken):
			broken = err
		case err != nil:
			return err
		}
	}
	return broken
}

// note writes a line about this deployment to the record.
func (f *moveFleet) note(format string, a ...any) { f.run.note(f.name+" "+format, a...) }

// play orders the move, calls during, and watches the move to its end. Judge then says whether the
// rule was broken.
func (f *moveFleet) play(during func(), judge func() error) error {
	f.quit = make(chan bool)
	defer func() {
		close(f.quit)
		f.requesters.Wait()
		for _, i := range f.instances {
			i.kill()
		}
		for _, t := range slices.Concat(f.before, f.after, []*target{f.quiet}) {
			t.stop(f.store)
		}
	}()
	if err := f.start(); err != nil {
		return err
	}
	for p, rate := range f.rates {
		f.requesters.Go(func() { f.send(p, rate) })
	}
	time.Sleep(moveSettle)
	if err := f.order(); err != nil {
		return err
	}
	f.requesters.Go(during)
	f.follow()
	return judge()
}

// start starts the store, the replicas of the old version and three instances.
func (f *moveFleet) start() error {
	var err error
	if f.store, err = newKVStore(); err != nil {
		return err
	}
	f.store.put("op/config", moveConfiguration())
	work := func(*http.Request) time.Duration { return time.Duration(40+rand.IntN(100)) * time.Millisecond }
	for n := range 4 {
		t, err := newTarget(f.store, fmt.Sprint("i-1", n), "s1", []string{"za", "zb"}[n%2], 6, work)
		if err != nil {
			return err
		}
		f.before = append(f.before, t)
	}
	if err := f.startQuiet(); err != nil {
		return err
	}
	for n := range 3 {
		i, err := startInstance(f.dir, fmt.Sprint(f.name, "-", n), []string{"za", "zb"}[n%2], f.store.addr, -1)
		if err != nil {
			return err
		}
		f.instances = append(f.instances, i)
	}
	for _, i := range f.instances {
		if err := i.awaitReady(startLimit); err != nil {
			return err
		}
	}
	return nil
}

// startQuiet registers the replicas of the services to which no requests come.
func (f *moveFleet) startQuiet() error {
	q := &target{zone: "za"}
	if err := q.start(); err != nil {
		return err
	}
	f.quiet = q
	for n := range 2 * quietServices {
		t := &target{id: fmt.Sprint("i-p", n), service: fmt.Sprint("p", n/2), zone: []string{"za", "zb"}[n%2], version: "v1", addr: q.addr, slots: 2}
		t.register(f.store, "ready")
	}
	return nil
}

func (f *moveFleet) instance(n int) *instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.instances[n]
}

func (f *moveFleet) setInstance(n int, i *instance) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.instances[n] = i
}

// send sends requests with a path prefix at a rate, at random moments and to random instances.
func (f *moveFleet) send(prefix string, rate float64) {
	var g sync.WaitGroup
	defer g.Wait()
	for n := 0; ; n++ {
		select {
		case <-f.quit:
			return
		case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
		}
		g.Go(func() {
			now := time.Now()
			id := fmt.Sprintf("%s%d", strings.Trim(prefix, "/"), n)
			x := upload{id: id, head: fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: h.example\r\n", prefix, id), connect: now, finish: now}.send(f.instance(rand.IntN(len(f.instances))).front)
			f.answers.add(prefix, x.status)
		})
	}
}

// order orders the move and starts the replicas of the new version.
func (f *moveFleet) order() error {
	// Marshaling a map of plain values cannot fail.
	b, _ := json.Marshal(map[string]any{"service": "s1", "targetVersion": "v2", "durationS": moveDuration.Seconds()})
	f.store.put("op/rollout/s1", b)
	f.ordered = time.Now()
	f.note("order: %s; answers so far: %v", b, &f.answers)
	for n, o := range f.before {
		t := &target{id: fmt.Sprint("i-2", n), service: "s1", zone: o.zone, version: "v2", slots: o.slots, work: o.work}
		if f.fails != nil {
			t.fails = func(r *http.Request, busy int) bool { return f.fails(r.URL.Path, time.Since(f.ordered), busy) }
		}
		if err := t.start(); err != nil {
			return err
		}
		t.register(f.store, "ready")
		f.after = append(f.after, t)
	}
	return nil
}

// follow does what the platform does as the status changes, until some time after the time budget:
// at completed, the old replicas stop at once; at rolled_back, the new ones drain some seconds later.
func (f *moveFleet) follow() {
	last := ""
	var drainAt time.Time
	for time.Since(f.ordered) < moveDuration+moveWatch {
		if s := f.status(); s != last {
			last, drainAt = s, time.Time{}
			f.statuses = append(f.statuses, s)
			runs, failures := f.sum(f.after, f.ordered, time.Now())
			f.note("%.3f s after the order: status %s; the new version has run %d requests, %d of them badly", time.Since(f.ordered).Seconds(), s, runs, failures)
			switch s {
			case "completed":
				for _, t := range f.before {
					t.stop(f.store)
				}
			case "rolled_back":
				drainAt = time.Now().Add(drainDelay)
			}
		}
		if !drainAt.IsZero() && time.Now().After(drainAt) {
			drainAt = time.Time{}
			for _, t := range f.after {
				t.register(f.store, "draining")
			}
		}
		time.Sleep(pollInterval)
	}
}

// status returns the state of the move that the store shows.
func (f *moveFleet) status() string {
	i, _ := f.store.get("status/rollout/s1")
	var s struct {
		State string `json:"state"`
	}
	// A value that cannot be read has no state.
	_ = json.Unmarshal(i.Value, &s)
	return s.State
}

func (f *moveFleet) sum(l []*target, from, to time.Time) (runs, failures int) {
	for _, t := range l {
		n, b := t.counts(from, to)
		runs, failures = runs+n, failures+b
	}
	return runs, failures
}
