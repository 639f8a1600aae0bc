package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	recovery   = 12 * time.Second // recoveryS of the settings
	redoBudget = 30               // durationS of the order
	redoWork   = 20 * time.Millisecond
)

// redoCase: a rollout is completed and its old replicas are stopped, the store loses the status in
// a drill, and later all processes are killed and start again.
func redoCase(x *setup) int {
	const host = "diario.example"
	s := newStore()
	zones := []string{"cerro", "plan", "puerto"}
	start := func(version string) []*replica {
		var l []*replica
		for i, z := range zones {
			l = append(l, startReplica(s, x.log, fmt.Sprintf("i-%s%d", version, i), "terreno", z, version, 6, redoWork))
		}
		return l
	}
	old := start("v1")
	s.put("op/config", configuration(7, []string{"terreno"}, route("r-one", host, "/ficha/", "safe", "terreno", 6*time.Second)))
	nodes := startNodes(x.dir, x.program, s.addr, zones)
	defer func() { stopNodes(nodes) }()
	if !awaitReady(nodes) {
		return failed
	}
	c := startCallers(x.log, nodes, 6, 200*time.Millisecond, "GET", host, "/ficha/", "g", nil)
	time.Sleep(4 * time.Second)
	start("v2")
	s.put("op/rollout/terreno", map[string]any{"service": "terreno", "targetVersion": "v2", "durationS": redoBudget})
	x.log.add("ordered", "version", "v2")
	state := awaitState(s, "terreno", "v2", (redoBudget+5)*time.Second)
	x.log.add("status", "state", state)
	if state != "completed" {
		c.end()
		return failed
	}
	// "At completed, the old replicas stop immediately, without draining."
	for _, b := range old {
		b.stop()
	}
	time.Sleep(2 * time.Second)
	if x.trouble {
		x.log.add("drill", "away", "1s", "age", "4s")
		b, a := s.drill(time.Second, 4*time.Second)
		x.log.add("returned", "revisionBefore", fmt.Sprint(b), "revisionOfCopy", fmt.Sprint(a))
	} else {
		time.Sleep(time.Second)
	}
	// Entries of replicas that are silent go after three check-ins.
	time.Sleep(3 * heartbeat)
	for _, b := range old {
		if _, ok := s.get("servers/" + b.id); ok {
			s.remove("servers/" + b.id)
		}
	}
	time.Sleep(6 * time.Second)
	state, _ = rolloutState(s, "terreno")
	killed := x.log.add("killed", "processes", "all", "status", state)
	for _, n := range nodes {
		n.command.Process.Kill()
		n.command.Wait()
	}
	time.Sleep(500 * time.Millisecond)
	for _, n := range nodes {
		n.start(x.program)
	}
	back := x.log.add("started", "processes", "all")
	time.Sleep(recovery + 12*time.Second)
	c.end()
	state, _ = rolloutState(s, "terreno")
	x.log.add("status", "state", state)
	return judgeRedo(x.log, killed, back+recovery)
}

// stop ends a replica without draining.
func (b *replica) stop() {
	close(b.ended)
	b.server.Close()
	b.store.remove("servers/" + b.id)
}

// judgeRedo compares the served share later than recoveryS after the machines are back with that of
// the ten seconds before the final fault.
func judgeRedo(l *record, killed, from time.Duration) int {
	const before = 5 * time.Second
	var w [2]struct{ sent, served int }
	status := map[string]string{}
	for _, e := range l.all("answer") {
		status[e.fields["id"]] = e.fields["status"]
	}
	for _, e := range l.all("sent") {
		i := -1
		switch {
		case e.at >= killed-before && e.at < killed-time.Second:
			i = 0
		case e.at > from:
			i = 1
		}
		if i < 0 {
			continue
		}
		w[i].sent++
		if strings.HasPrefix(status[e.fields["id"]], "2") {
			w[i].served++
		}
	}
	l.add("result", "sentBefore", fmt.Sprint(w[0].sent), "servedBefore", fmt.Sprint(w[0].served), "sentAfter", fmt.Sprint(w[1].sent), "servedAfter", fmt.Sprint(w[1].served))
	fmt.Printf("served before the final fault: %d of %d; later than recoveryS after it: %d of %d\n", w[0].served, w[0].sent, w[1].served, w[1].sent)
	if w[0].sent == 0 || w[1].sent == 0 || 4*w[0].served < w[0].sent {
		return failed
	}
	if 4*w[1].served < w[1].sent {
		return broken
	}
	return held
}
