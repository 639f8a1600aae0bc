package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"time"
)

// site holds what differs between the sites. The longest drain time equals apply on both.
type site struct {
	memoryMB       int64 // of the smallest machines
	apply, contact time.Duration
}

var (
	smutValpo      = site{284, 3 * time.Second, 4 * time.Second}
	smutValpoGrown = site{184, 5 * time.Second, 5 * time.Second}
)

// host is the host that all requests name.
const host = "pupu76.example"

// route is a route of the operator's configuration.
type route struct {
	name, prefix, service string
	unsafe                bool
	timeout, target       time.Duration
}

// configuration returns the operator's configuration as the store holds it.
func configuration(version int, routes []route, services []string) []byte {
	type object map[string]any
	var l, s []object
	for _, r := range routes {
		kind := "safe"
		if r.unsafe {
			kind = "unsafe"
		}
		l = append(l, object{
			"name": r.name, "host": host, "prefix": r.prefix, "type": kind, "timeoutMs": r.timeout.Milliseconds(),
			"targetLatencyMs": r.target.Milliseconds(), "priority": 2, "service": r.service, "attempts": 2,
		})
	}
	for _, n := range services {
		s = append(s, object{"name": n, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0})
	}
	b, err := json.Marshal(object{
		"version": version, "routes": l, "services": s,
		"limits": object{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	if err != nil {
		panic(err)
	}
	return b
}

// fleet is a small installation: a store, replicas and machines in two zones.
type fleet struct {
	record    *record
	temp      string
	store     *store
	replicas  []*replica
	instances []*instance
	services  []string
	version   int
	site      site

	mu    sync.Mutex
	calls []*call
}

func newFleet(folder string) (*fleet, error) {
	r, err := newRecord(folder)
	if err != nil {
		return nil, err
	}
	t, err := os.MkdirTemp("", "cowslipflow-review-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &fleet{record: r, temp: t, store: s, site: smutValpo}, err
}

// addService starts the replicas of a service.
func (f *fleet) addService(name string, replicas int, least, most time.Duration) error {
	f.services = append(f.services, name)
	_, err := f.addReplicas(name, "v1", replicas, least, most, nil)
	return err
}

// addReplicas starts replicas of a version of a service and returns them.
func (f *fleet) addReplicas(service, version string, replicas int, least, most time.Duration, fails func() bool) ([]*replica, error) {
	zones := []string{"za", "zb"}
	var l []*replica
	for i := range replicas {
		x := &replica{id: fmt.Sprint("i-", service, "-", version, "-", i), service: service, zone: zones[i%len(zones)], version: version, slots: 6, least: least, most: most, fails: fails, record: f.record}
		if err := x.start(f.store); err != nil {
			return nil, err
		}
		l = append(l, x)
	}
	f.replicas = append(f.replicas, l...)
	return l, nil
}

// configure writes the next version of the configuration and returns its size in bytes.
func (f *fleet) configure(routes []route) int {
	f.version++
	b := configuration(f.version, routes, f.services)
	f.store.put("op/config", b)
	f.record.line("config", "", fmt.Sprint("version ", f.version, " with ", len(routes), " routes and ", len(b), " bytes is acknowledged"))
	return len(b)
}

// startInstances starts two machines and waits until they are ready.
func (f *fleet) startInstances() error {
	for i, z := range []string{"za", "zb"} {
		x, err := newInstance(fmt.Sprint("front-", z, "-", i+1), z, f.temp, f.store.addr, []string{"za", "zb"}, f.site, f.record)
		if err != nil {
			return err
		}
		if err := x.start(); err != nil {
			return err
		}
		f.instances = append(f.instances, x)
	}
	for _, x := range f.instances {
		if !x.awaitReady(15 * time.Second) {
			return fmt.Errorf("%s does not get ready", x.name)
		}
	}
	time.Sleep(f.site.contact)
	return nil
}

// close ends all processes.
func (f *fleet) close() {
	for _, x := range f.instances {
		x.close()
	}
	f.record.close()
	os.RemoveAll(f.temp)
}

func (f *fleet) add(k *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, k)
}

// ran returns how often replicas have begun to run a request.
func (f *fleet) ran(id string) int {
	n := 0
	for _, r := range f.replicas {
		n += r.ran(id)
	}
	return n
}

// keepCalling sends requests on kept connections to each machine until quit is closed: from
// callers connections to each, one request after another, each for the route that next
// returns.
func (f *fleet) keepCalling(callers int, pause time.Duration, quit chan struct{}, next func(x *instance) (route, bool)) *sync.WaitGroup {
	g := &sync.WaitGroup{}
	for _, x := range f.instances {
		for i := range callers {
			g.Go(func() {
				c := &caller{front: x.front, record: f.record}
				defer c.close()
				for n := 0; ; n++ {
					select {
					case <-quit:
						return
					case <-time.After(pause):
					}
					r, ok := next(x)
					if !ok {
						return
					}
					if k := c.send(fmt.Sprintf("%s-%d-%d", x.name, i, n), r); k != nil {
						f.add(k)
					} else {
						time.Sleep(100 * time.Millisecond)
					}
				}
			})
		}
	}
	return g
}

// summary counts the requests by how they ended.
func (f *fleet) summary() {
	n, most := map[int]int{}, 0
	for _, k := range f.calls {
		n[k.status]++
		most = max(most, f.ran(k.id))
	}
	f.record.say("%d requests, by status (0 is none): %v; none ran more often than %d times", len(f.calls), n, most)
	for _, x := range f.instances {
		f.record.say("%s held %d MB at most", x.name, x.peakKB.Load()>>10)
	}
}
