package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the settings, and the figures of the case.
const (
	exposeShare = 0.1
	exposeSlack = 50
	rollback    = 5 * time.Second
	orderBudget = 12                     // durationS of the orders
	drainDelay  = 8 * time.Second        // from rolled_back until the new replicas report draining
	orderDelay  = 300 * time.Millisecond // from rolled_back until the next order
	orderWork   = 10 * time.Millisecond
)

// ordersCase: a version that is bad on one route is rolled back, and the operator orders the next
// version before the replicas of the bad one have drained.
func ordersCase(x *setup) int {
	const host = "diario.example"
	s := newStore()
	zones := []string{"cerro", "plan", "puerto"}
	start := func(version string) []*replica {
		var l []*replica
		for i, z := range zones {
			b := startReplica(s, x.log, fmt.Sprintf("i-%s%d", version, i), "terreno", z, version, 6, orderWork)
			b.respond = func(w http.ResponseWriter, r *http.Request, stamp string) bool {
				if version != "v2" || !strings.HasPrefix(r.URL.Path, "/alta/") {
					return false
				}
				x.log.add("bad", "id", r.Header.Get("X-Request-Id"))
				w.Header().Set("X-Server-Stamp", stamp)
				w.WriteHeader(http.StatusInternalServerError)
				return true
			}
			l = append(l, b)
		}
		return l
	}
	order := func(version string) time.Duration {
		s.put("op/rollout/terreno", map[string]any{"service": "terreno", "targetVersion": version, "durationS": orderBudget})
		return x.log.add("ordered", "version", version)
	}
	start("v1")
	s.put("op/config", configuration(7, []string{"terreno"}, route("r-read", host, "/ficha/", "safe", "terreno", 6*time.Second), route("r-write", host, "/alta/", "unsafe", "terreno", 6*time.Second)))
	nodes := startNodes(x.dir, x.program, s.addr, zones)
	defer stopNodes(nodes)
	if !awaitReady(nodes) {
		return failed
	}
	reads := startCallers(x.log, nodes, 20, 200*time.Millisecond, "GET", host, "/ficha/", "r", nil)
	writes := startCallers(x.log, nodes, 1, 150*time.Millisecond, "POST", host, "/alta/", "w", []byte("entry"))
	time.Sleep(5 * time.Second)
	ordered := order("v2")
	second := start("v2")
	state := awaitState(s, "terreno", "v2", 15*time.Second)
	x.log.add("status", "version", "v2", "state", state)
	if state != "rolled_back" {
		return failed
	}
	drained := make(chan struct{})
	go func() {
		// "At rolled_back, the new replicas drain some seconds later."
		time.Sleep(drainDelay)
		x.log.add("draining", "version", "v2")
		var w sync.WaitGroup
		for _, b := range second {
			w.Go(func() { b.drain(4 * time.Second) })
		}
		w.Wait()
		close(drained)
	}()
	if !x.trouble {
		<-drained
	}
	time.Sleep(orderDelay)
	order("v3")
	start("v3")
	state = awaitState(s, "terreno", "v3", 20*time.Second)
	x.log.add("status", "version", "v3", "state", state)
	time.Sleep(time.Second)
	reads.end()
	writes.end()
	return judgeOrders(x.log, ordered)
}

// judgeOrders counts the requests to the bad version between the order and its time budget, and
// those that were sent later than rollbackMs after its 50th bad answer.
func judgeOrders(l *record, ordered time.Duration) int {
	sent := map[string]time.Duration{}
	for _, e := range l.all("sent") {
		sent[e.fields["id"]] = e.at
	}
	limit := time.Duration(1<<63 - 1)
	bad := l.all("bad")
	if len(bad) >= 50 {
		limit = bad[49].at + rollback
	}
	all, got, late := 0, 0, 0
	for _, e := range l.all("run") {
		toBad := strings.HasPrefix(e.fields["replica"], "i-v2")
		if e.at >= ordered && e.at < ordered+orderBudget*time.Second {
			all++
			if toBad {
				got++
			}
		}
		if toBad && sent[e.fields["id"]] > limit {
			late++
		}
	}
	allowed := exposeShare*float64(all) + exposeSlack
	l.add("result", "toBad", fmt.Sprint(got), "allowed", fmt.Sprintf("%.1f", allowed), "badAnswers", fmt.Sprint(len(bad)), "laterThanRollback", fmt.Sprint(late))
	fmt.Printf("bad version: %d of %d requests from the order to its time budget (allowed %.1f), %d bad answers; %d requests later than rollbackMs after the 50th\n", got, all, allowed, len(bad), late)
	if float64(got) > allowed || late > 0 {
		return broken
	}
	return held
}
