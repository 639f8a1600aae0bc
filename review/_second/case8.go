package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	configApply    = 3 * time.Second // configApplyMs
	configSettle   = time.Second     // more than the bound, so that no request is close to it
	configRequests = 40              // to judge each version by
	longTimeout    = 15 * time.Minute
	usualTimeout   = 6 * time.Second
	evacuation     = 5 * time.Second // evacuationMs
	restartSettle  = 5 * time.Second // after the start of the last machine
)

// configVersion is a version of the configuration: route r1 leads to a service, and route r2 has a
// time-out.
func configVersion(version int, service string, timeout time.Duration) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[
{"name":"r1","host":"h.example","prefix":"/b/","type":"unsafe","timeoutMs":6000,"targetLatencyMs":400,"priority":2,"attempts":2,"service":%q},
{"name":"r2","host":"h.example","prefix":"/archivo/","type":"safe","timeoutMs":%d,"targetLatencyMs":400,"priority":2,"attempts":2,"service":"s2"}],
"services":[{"name":"s1","healthPath":"/healthz","maxConnections":110,"warmupS":0,"warmupPerS":0},{"name":"s2","healthPath":"/healthz","maxConnections":110,"warmupS":0,"warmupPerS":0}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeoutMs":10000,"idleTimeoutMs":60000}}`, version, service, timeout.Milliseconds())
}

// configFleet is a deployment whose configuration changes.
type configFleet struct {
	*run
	store     *kvStore
	targets   []*target
	instances []*instance
	sent      int
}

// changeTimeout writes a version that gives one route a long time-out and moves another route to
// another service, and then a version that moves it back and forth, and checks by which service
// requests are run.
func changeTimeout(r *run) error {
	f := &configFleet{run: r}
	defer func() {
		for _, i := range f.instances {
			i.kill()
		}
	}()
	if err := f.start(); err != nil {
		return err
	}
	timeout := longTimeout
	if !r.trouble {
		timeout = usualTimeout
	}
	var broken error
	for _, v := range []struct {
		number  int
		service string
		timeout time.Duration
	}{{9, "s2", usualTimeout}, {12, "s1", timeout}, {17, "s2", timeout}, {18, "s1", timeout}} {
		f.store.put("op/config", configVersion(v.number, v.service, v.timeout))
		f.note("version %d acknowledged: r1 leads to %s, the time-out of r2 is %v", v.number, v.service, v.timeout)
		time.Sleep(configApply + configSettle)
		if err := f.judge(v.number, v.service); err != nil {
			broken = err
		}
	}
	f.evacuate()
	return errors.Join(broken, f.restart())
}

// evacuate takes a zone out of service, notes how many requests reach its replicas, and takes it
// back.
func (f *configFleet) evacuate() {
	f.store.put("op/evacuate/zb", []byte("{}"))
	time.Sleep(evacuation + configSettle)
	before := f.runsIn("zb")
	// Version 0 is not judged, so there is no error.
	_ = f.judge(0, "")
	f.note("%.0f s after the evacuation of zb: %d of these requests reached replicas there", (evacuation + configSettle).Seconds(), f.runsIn("zb")-before)
	f.store.remove("op/evacuate/zb")
	time.Sleep(configApply)
}

// runsIn returns how many requests the replicas of a zone have run.
func (f *configFleet) runsIn(zone string) int {
	n := 0
	for _, t := range f.targets {
		if t.zone == zone {
			r, _ := t.counts(f.began, time.Now())
			n += r
		}
	}
	return n
}

// restart stops the instances in turn, starts them again and notes what they answer then.
func (f *configFleet) restart() error {
	for n, i := range f.instances {
		i.signal(syscall.SIGTERM)
		select {
		case <-i.ended:
		case <-time.After(stopGrace):
		}
		i.kill()
		var err error
		if f.instances[n], err = startInstance(f.dir, i.name+"-again", []string{"za", "zb"}[n], f.store.addr, -1); err != nil {
			return err
		}
	}
	time.Sleep(restartSettle)
	f.note("%.0f s after a restart of both machines by SIGTERM, in turn:", restartSettle.Seconds())
	return f.judge(0, "")
}

func (f *configFleet) start() error {
	var err error
	if f.store, err = newKVStore(); err != nil {
		return err
	}
	f.store.put("op/config", configVersion(7, "s1", usualTimeout))
	for n := range 4 {
		t, err := newTarget(f.store, fmt.Sprint("i-", n), []string{"s1", "s2"}[n/2], []string{"za", "zb"}[n%2], 6, func(*http.Request) time.Duration { return 0 })
		if err != nil {
			return err
		}
		f.targets = append(f.targets, t)
	}
	for n, z := range []string{"za", "zb"} {
		i, err := startInstance(f.dir, fmt.Sprint("n", n), z, f.store.addr, -1)
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

// judge sends requests on route r1 to all instances in turn and counts the services that run them.
// Version 0 is not judged.
func (f *configFleet) judge(version int, service string) error {
	by, answers, wrong := map[string]int{}, map[int]int{}, 0
	for range configRequests {
		f.sent++
		now := time.Now()
		x := upload{id: fmt.Sprint("q", f.sent), head: "POST /b/q HTTP/1.1\r\nHost: h.example\r\n", connect: now, finish: now}.send(f.instances[f.sent%len(f.instances)].front)
		answers[x.status]++
		for _, t := range f.targets {
			if n := t.ran(x.id); n > 0 {
				by[t.service] += n
				if t.service != service {
					wrong++
				}
			}
		}
	}
	f.note("%d requests on r1, answers by status: %v, run by service: %v", configRequests, answers, by)
	if wrong == 0 || version == 0 {
		return nil
	}
	return fmt.Errorf("%w: CONFIG: later than %v after version %d was acknowledged, %d of %d requests were run by a service to which only an older version sends them", errBroken, configApply, version, wrong, configRequests)
}
