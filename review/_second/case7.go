package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	moveFleets   = 3                // deployments side by side, each with a move of its own
	moveDuration = 12 * time.Second // durationS of the order
	moveSettle   = 5 * time.Second  // of traffic before the order
	moveWatch    = 8 * time.Second  // after the time budget of the order
	mainRate     = 60.0             // requests a second on the route in use
	otherRate    = 1.5              // and on the other one, on which the new version is bad
	badShare     = 0.5              // of the answers on that route
	exposeShare  = 0.1
	exposeSlack  = 50
	pollInterval = 10 * time.Millisecond
)

const moveConfiguration = `{"version":7,"routes":[
{"name":"r1","host":"h.example","prefix":"/b/","type":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"attempts":2,"service":"s1"},
{"name":"r2","host":"h.example","prefix":"/c/","type":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"attempts":2,"service":"s1"}],
"services":[{"name":"s1","healthPath":"/healthz","maxConnections":110,"warmupS":0,"warmupPerS":0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}`

// moveFleet is a deployment in which a service is moved to a new version.
type moveFleet struct {
	*run
	name       string
	store      *kvStore
	before     []*target // of the old version
	after      []*target
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

func (c *answerCounts) String() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprint(c.n)
}

// moveBadOnOneRoute orders moves to a version that is bad on one route only, from its start on, one
// in each of some deployments, and checks how many requests the version gets.
func moveBadOnOneRoute(r *run) error {
	errs := make([]error, moveFleets)
	var g sync.WaitGroup
	for n := range errs {
		g.Go(func() {
			f := &moveFleet{run: r, name: fmt.Sprint("d", n), quit: make(chan bool)}
			errs[n] = f.play()
		})
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

func (f *moveFleet) play() error {
	defer func() {
		close(f.quit)
		f.requesters.Wait()
		for _, i := range f.instances {
			i.kill()
		}
	}()
	if err := f.start(); err != nil {
		return err
	}
	f.requesters.Go(func() { f.send("/b/", mainRate) })
	f.requesters.Go(func() { f.send("/c/", otherRate) })
	time.Sleep(moveSettle)
	ordered, err := f.order()
	if err != nil {
		return err
	}
	f.follow(ordered)
	time.Sleep(time.Until(ordered.Add(moveDuration + moveWatch)))
	return f.judge(ordered)
}

// start starts the store, the replicas of the old version and three instances.
func (f *moveFleet) start() error {
	var err error
	if f.store, err = newKVStore(); err != nil {
		return err
	}
	f.store.put("op/config", []byte(moveConfiguration))
	work := func(*http.Request) time.Duration { return time.Duration(40+rand.IntN(100)) * time.Millisecond }
	for n := range 4 {
		t, err := newTarget(f.store, fmt.Sprint("i-1", n), "s1", []string{"za", "zb"}[n%2], 6, work)
		if err != nil {
			return err
		}
		f.before = append(f.before, t)
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
			x := upload{id: id, head: fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: h.example\r\n", prefix, id), connect: now, finish: now}.send(f.instances[rand.IntN(len(f.instances))].front)
			f.answers.add(prefix, x.status)
		})
	}
}

// order orders the move and starts the replicas of the new version.
func (f *moveFleet) order() (time.Time, error) {
	// Marshaling a map of plain values cannot fail.
	b, _ := json.Marshal(map[string]any{"service": "s1", "targetVersion": "v2", "durationS": moveDuration.Seconds()})
	f.store.put("op/rollout/s1", b)
	ordered := time.Now()
	f.note("order: %s; answers so far: %v", b, &f.answers)
	for n, o := range f.before {
		t := &target{id: fmt.Sprint("i-2", n), service: "s1", zone: o.zone, version: "v2", slots: o.slots, work: o.work}
		if f.trouble {
			t.fails = func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/c/") && rand.Float64() < badShare }
		}
		if err := t.start(); err != nil {
			return ordered, err
		}
		t.register(f.store, "ready")
		f.after = append(f.after, t)
	}
	return ordered, nil
}

// follow does what the platform does at the end of the move: at completed, the old replicas stop
// at once; at rolled_back, the new ones drain some seconds later.
func (f *moveFleet) follow(ordered time.Time) {
	state := ""
	for time.Since(ordered) < moveDuration+moveWatch {
		i, _ := f.store.get("status/rollout/s1")
		if s := string(i.Value); s != state {
			state = s
			runs, failures := f.sum(f.after, ordered, time.Now())
			f.note("status %s; the new version has run %d requests, %d of them badly", s, runs, failures)
		}
		switch {
		case strings.Contains(state, "completed"):
			for _, t := range f.before {
				t.stop(f.store)
			}
			return
		case strings.Contains(state, "rolled_back"):
			time.Sleep(3 * time.Second)
			for _, t := range f.after {
				t.register(f.store, "draining")
			}
			return
		}
		time.Sleep(pollInterval)
	}
}

func (f *moveFleet) sum(l []*target, from, to time.Time) (runs, failures int) {
	for _, t := range l {
		n, b := t.counts(from, to)
		runs, failures = runs+n, failures+b
	}
	return runs, failures
}

// judge checks the share of the requests between the order and its time budget that the new
// version got. There is no bound for a good one.
func (f *moveFleet) judge(ordered time.Time) error {
	end := ordered.Add(moveDuration)
	n, _ := f.sum(f.after, ordered, end)
	o, _ := f.sum(f.before, ordered, end)
	total, bad := f.sum(f.after, ordered, time.Now())
	allowed := exposeShare*float64(n+o) + exposeSlack
	f.note("between the order and its time budget, %d of %d requests reached the new version; allowed if it is bad: %.1f", n, n+o, allowed)
	f.note("up to %.0f s after it: %d, of which %d ran badly; answers: %v", moveWatch.Seconds(), total, bad, &f.answers)
	if f.trouble && float64(n) > allowed {
		f.note("broken: EXPOSURE")
		return fmt.Errorf("%w: EXPOSURE: a bad version got %d requests, where %.1f are allowed", errBroken, n, allowed)
	}
	return nil
}
