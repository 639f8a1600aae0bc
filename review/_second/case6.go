package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	stopDeployments = 6   // side by side, each with a store, replicas and instances of its own
	stopUploads     = 200 // to each instance that is stopped
	// Uploads begin before the balancer has missed two answers to its questions, and end within
	// a short time around the moment at which the instance closes its listener.
	uploadBegins    = 900 * time.Millisecond // after SIGTERM
	firstUploadEnds = 2480 * time.Millisecond
	lastUploadEnds  = 2540 * time.Millisecond
	stopGrace       = 6 * time.Second // graceS
	stopGap         = time.Second     // between the return of one instance and the stop of the next
	startLimit      = 15 * time.Second
	stopCaseLimit   = 95 * time.Second // no stop begins later
)

const stopConfiguration = `{"version":7,"routes":[
{"name":"r1","host":"h.example","prefix":"/b/","type":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"attempts":2,"service":"s1"}],
"services":[{"name":"s1","healthPath":"/healthz","maxConnections":110,"warmupS":0,"warmupPerS":0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}`

// deployment is a small deployment: a store, a replica and an instance in each of two zones.
type deployment struct {
	*run
	name      string
	store     *kvStore
	targets   []*target
	instances []*instance
	starts    int
}

// stopInTurn stops the instances of small deployments one at a time, while requesters upload
// requests to them, and checks that each request that a replica began to run was answered.
func stopInTurn(r *run) error {
	var g sync.WaitGroup
	errs := make([]error, stopDeployments)
	for n := range errs {
		g.Go(func() {
			d := deployment{run: r, name: fmt.Sprint("d", n), instances: make([]*instance, 2)}
			errs[n] = d.play(n % runtime.NumCPU())
		})
	}
	g.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// play stops one instance after the other until a request is lost, in any deployment, or time is over.
func (d *deployment) play(core int) error {
	defer func() {
		for _, i := range d.instances {
			if i != nil {
				i.kill()
			}
		}
	}()
	var err error
	if d.store, err = newKVStore(); err != nil {
		return err
	}
	d.store.put("op/config", []byte(stopConfiguration))
	for n, z := range []string{"za", "zb"} {
		t, err := newTarget(d.store, fmt.Sprint("i-", n), "s1", z, 6, func(*http.Request) time.Duration { return 0 })
		if err != nil {
			return err
		}
		d.targets = append(d.targets, t)
		if err := d.start(n, core); err != nil {
			return err
		}
	}
	for n := 0; !d.over() && time.Since(d.began) < stopCaseLimit; n = 1 - n {
		if err := d.stop(d.instances[n]); err != nil {
			d.end()
			return err
		}
		if err := d.start(n, core); err != nil {
			return err
		}
		time.Sleep(stopGap)
	}
	return nil
}

// start starts instance n, in place of the process that ended, and waits until it is ready.
func (d *deployment) start(n, core int) error {
	if i := d.instances[n]; i != nil {
		i.kill()
	}
	d.starts++
	i, err := startInstance(d.dir, fmt.Sprint(d.name, "-", d.starts), []string{"za", "zb"}[n], d.store.addr, core)
	if err != nil {
		return err
	}
	d.instances[n] = i
	return i.awaitReady(startLimit)
}

// stop sends SIGTERM to an instance during uploads, and checks what came of these.
func (d *deployment) stop(i *instance) error {
	at := time.Now().Add(100 * time.Millisecond)
	results := make([]sent, stopUploads)
	var g sync.WaitGroup
	for n := range results {
		g.Go(func() {
			results[n] = upload{
				id: fmt.Sprint(i.name, "-", n), head: "POST /b/q HTTP/1.1\r\nHost: h.example\r\n", connect: at.Add(uploadBegins),
				finish: at.Add(firstUploadEnds + (lastUploadEnds-firstUploadEnds)*time.Duration(n)/stopUploads),
			}.send(i.front)
		})
	}
	time.Sleep(time.Until(at))
	if d.trouble {
		i.signal(syscall.SIGTERM)
	}
	g.Wait()
	end := "got no signal"
	if d.trouble {
		select {
		case <-i.ended:
			end = fmt.Sprintf("ended %.3f s after SIGTERM: %v", time.Since(at).Seconds(), i.cmd.ProcessState)
		case <-time.After(time.Until(at.Add(stopGrace))):
			end = "did not end in the grace period"
		}
	}
	return d.judge(i, end, results)
}

// judge notes what came of the requests. A request breaks the rule if it was passed on to a
// replica and its connection ended without an answer.
func (d *deployment) judge(i *instance, end string, results []sent) error {
	answers, cut := map[int]int{}, 0
	var lost []string
	for _, x := range results {
		if x.status != 0 {
			answers[x.status]++
			continue
		}
		cut++
		for _, t := range d.targets {
			if t.ran(x.id) > 0 {
				lost = append(lost, fmt.Sprintf("%s (%v) ran at %s", x.id, x.err, t.id))
			}
		}
	}
	d.note("%s %s; sent: %d, answers by status: %v, without an answer: %d, of which ran: %d", i.name, end, len(results), answers, cut, len(lost))
	if p := panicOf(filepath.Join(d.dir, i.name+".log")); p != "" {
		d.note("%s wrote: %s", i.name, p)
	}
	if len(lost) == 0 {
		return nil
	}
	for _, x := range lost {
		d.note("not answered: %s", x)
	}
	return fmt.Errorf("%w: LOST: %s was stopped as planned and left %d requests that replicas ran without an answer", errBroken, i.name, len(lost))
}

// panicOf returns the first line of a panic in a log.
func panicOf(file string) string {
	b, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	for l := range strings.Lines(string(b)) {
		if strings.HasPrefix(l, "panic: ") || strings.HasPrefix(l, "fatal error: ") {
			return strings.TrimSpace(l)
		}
	}
	return ""
}
