package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of a roll-out, and its length in the platform's example.
const (
	exposeShare  = 0.1
	exposeSlack  = 50
	shownBy      = 50 // bad answers that show the fault of a version
	rollbackTime = 5 * time.Second
	moveTime     = 12 * time.Second
)

// versionLog counts the bad answers of a version and the requests that reach it after them.
type versionLog struct {
	mu      sync.Mutex
	bad     int
	shownAt time.Time
}

// moveToBadVersion orders a move of a service to a version of which, from half of the time
// on, a quarter of the answers are failures. Rule EXPOSURE.
func moveToBadVersion(f *fleet, trouble bool) (bool, error) {
	const least, most, portion = 30 * time.Millisecond, 150 * time.Millisecond, 0.25
	if err := f.addService("diary", 4, least, most); err != nil {
		return false, err
	}
	old := f.replicas
	r := route{name: "r-diary", prefix: "/diary/", service: "diary", timeout: 6 * time.Second, target: 400 * time.Millisecond}
	f.configure([]route{r})
	if err := f.startInstances(); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	g := f.keepCalling(2, 40*time.Millisecond, quit, func(*instance) (route, bool) { return r, true })
	time.Sleep(3 * time.Second)
	var v versionLog
	ordered := time.Now()
	after, err := f.addReplicas("diary", "v2", 4, least, most, func() bool {
		if !trouble || time.Since(ordered) < moveTime/2 || rand.Float64() >= portion {
			return false
		}
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.bad++; v.bad == shownBy {
			v.shownAt = time.Now()
			f.record.line("version", "v2", "has given its 50th bad answer")
		}
		return true
	})
	if err != nil {
		return false, err
	}
	f.store.put("op/rollout/diary", fmt.Appendf(nil, `{"service":"diary","targetVersion":"v2","durationS":%v}`, moveTime.Seconds()))
	state := f.awaitMove("diary", ordered.Add(moveTime))
	f.record.say("%.1f s after the order the state of the move is %q", time.Since(ordered).Seconds(), state)
	if state == "completed" {
		for _, x := range old {
			x.stop(f.store)
		}
	}
	time.Sleep(time.Until(ordered.Add(moveTime + 30*time.Second)))
	close(quit)
	g.Wait()
	f.summary()
	all, exposed, late, failed := 0, 0, 0, 0
	for _, k := range f.calls {
		n := 0
		for _, x := range after {
			n += x.ran(k.id)
		}
		if k.sent.After(ordered) && k.sent.Before(ordered.Add(moveTime)) {
			all++
			exposed += min(n, 1)
		}
		if n > 0 && v.bad >= shownBy && k.sent.After(v.shownAt.Add(rollbackTime)) {
			late++
			f.record.line("EXPOSURE", k.id, "sent later than 5 s after the 50th bad answer")
			if k.status != 200 {
				failed++
			}
		}
	}
	f.record.say("v2 got %d of %d requests within the time of the move, and %d sent later than %v after its 50th bad answer, of which %d failed", exposed, all, late, rollbackTime, failed)
	if !trouble {
		// The rule is about bad versions. A good one must take over.
		return state == "completed", nil
	}
	return late == 0 && float64(exposed) <= exposeShare*float64(all)+exposeSlack, nil
}

// awaitMove waits until a move has ended or its time is over, and returns its state.
func (f *fleet) awaitMove(service string, until time.Time) string {
	for {
		var s struct {
			State string `json:"state"`
		}
		// There is no state yet, or a state as the system wrote it.
		_ = json.Unmarshal(f.store.value("status/rollout/"+service), &s)
		if s.State != "" && s.State != "running" || time.Now().After(until) {
			return s.State
		}
		time.Sleep(20 * time.Millisecond)
	}
}
