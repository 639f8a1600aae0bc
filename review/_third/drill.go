package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// drillCase: the store comes back from a copy some seconds old, and the operator changes the
// configuration a little later.
func drillCase(x *setup) int {
	const host = "diario.example"
	s := newStore()
	var old []*replica
	for i, z := range []string{"cerro", "plan", "puerto"} {
		old = append(old, startReplica(s, x.log, fmt.Sprintf("i-old%d", i), "terreno", z, "v1", 6, 20*time.Millisecond))
		startReplica(s, x.log, fmt.Sprintf("i-new%d", i), "archivo", z, "v1", 6, 20*time.Millisecond)
	}
	services := []string{"terreno", "archivo"}
	first := configuration(7, services, route("r-moved", host, "/ficha/", "safe", "terreno", 6*time.Second), route("r-kept", host, "/archivo/", "safe", "archivo", 6*time.Second))
	second := configuration(11, services, route("r-moved", host, "/ficha/", "safe", "archivo", 6*time.Second), route("r-kept", host, "/archivo/", "safe", "archivo", 6*time.Second), route("r-added", host, "/nueva/", "safe", "archivo", 6*time.Second))
	s.put("op/config", first)
	nodes := startNodes(x.dir, x.program, s.addr, []string{"cerro", "plan", "puerto"})
	defer stopNodes(nodes)
	if !awaitReady(nodes) {
		x.log.add("note", "text", "not ready")
		return failed
	}
	var callers []*callers
	for k, p := range []string{"/ficha/", "/archivo/", "/nueva/"} {
		callers = append(callers, startCallers(x.log, nodes, 1, 250*time.Millisecond, "GET", host, p, fmt.Sprintf("q%d", k), nil))
	}
	time.Sleep(12 * time.Second)
	if x.trouble {
		x.log.add("drill", "away", "1s", "age", "4s")
		b, a := s.drill(time.Second, 4*time.Second)
		x.log.add("returned", "revisionBefore", fmt.Sprint(b), "revisionOfCopy", fmt.Sprint(a))
		// The operator writes again what it wrote.
		s.put("op/config", first)
	} else {
		time.Sleep(time.Second)
	}
	time.Sleep(1500 * time.Millisecond)
	if !s.put("op/config", second) {
		return failed
	}
	i, _ := s.get("op/config")
	acked := x.log.add("acknowledged", "version", "11", "revision", fmt.Sprint(i.Rev))
	// configApplyMs and outerMs of the settings, and a second more.
	const due = 3*time.Second + 12*time.Second + time.Second
	time.Sleep(due)
	// The operator takes the old replicas away once the version is due everywhere.
	x.log.add("draining", "service", "terreno")
	var w sync.WaitGroup
	for _, b := range old {
		w.Go(func() { b.drain(8 * time.Second) })
	}
	time.Sleep(20 * time.Second)
	for _, c := range callers {
		c.end()
	}
	w.Wait()
	return judgeDrill(x.log, acked+due)
}

// judgeDrill counts the requests that were sent later than all bounds allow and were handled as
// only the older version allows.
func judgeDrill(l *record, from time.Duration) int {
	sent := map[string]time.Duration{}
	for _, e := range l.all("sent") {
		sent[e.fields["id"]] = e.at
	}
	byOld, refused, unserved, good := 0, 0, 0, 0
	for _, e := range l.all("run") {
		if e.fields["service"] == "terreno" && sent[e.fields["id"]] > from {
			byOld++
		}
	}
	for _, e := range l.all("answer") {
		if sent[e.fields["id"]] <= from {
			continue
		}
		switch p, s := e.fields["path"], e.fields["status"]; {
		case s == "200":
			good++
		case strings.HasPrefix(p, "/nueva/") && s == "404":
			refused++
		case strings.HasPrefix(p, "/ficha/"):
			unserved++
		}
	}
	l.add("result", "ranByOldService", fmt.Sprint(byOld), "addedRouteRefused404", fmt.Sprint(refused), "movedRouteNotServed", fmt.Sprint(unserved), "served", fmt.Sprint(good))
	fmt.Printf("sent later than all bounds: %d run by the old service, %d refused with 404 on the added route, %d not served on the moved route, %d served\n", byOld, refused, unserved, good)
	if byOld+refused > 0 {
		return broken
	}
	if good == 0 {
		return failed
	}
	return held
}
