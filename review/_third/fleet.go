package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// record is what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	lines []entry
}

type entry struct {
	at     time.Duration
	kind   string
	fields map[string]string
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	check(err)
	return &record{file: f, start: time.Now()}
}

// add writes a line. Its fields are pairs of a name and a value.
func (l *record) add(kind string, fields ...string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := entry{at: time.Since(l.start), kind: kind, fields: map[string]string{}}
	var b strings.Builder
	fmt.Fprintf(&b, "%9.3f %s", e.at.Seconds(), kind)
	for i := 0; i+1 < len(fields); i += 2 {
		e.fields[fields[i]] = fields[i+1]
		fmt.Fprintf(&b, " %s=%q", fields[i], fields[i+1])
	}
	fmt.Fprintln(l.file, b.String())
	l.lines = append(l.lines, e)
	return e.at
}

func (l *record) all(kind string) []entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r []entry
	for _, e := range l.lines {
		if e.kind == kind {
			r = append(r, e)
		}
	}
	return r
}

// node is one process of the system, started with the command of the deploy file.
type node struct {
	name, zone             string
	front, ready, settings string
	command                *exec.Cmd
	client                 *http.Client
	log                    *os.File
}

// freePorts returns ports of 127.0.0.1 that nobody listens on.
func freePorts(n int) []int {
	var l []net.Listener
	var p []int
	for range n {
		x, err := net.Listen("tcp", "127.0.0.1:0")
		check(err)
		l = append(l, x)
		p = append(p, x.Addr().(*net.TCPAddr).Port)
	}
	for _, x := range l {
		x.Close()
	}
	return p
}

// startNodes starts one process for each zone name, with settings like those of DEPLOY.md.
func startNodes(dir, program, storeAddr string, zones []string) []*node {
	const portsOfNode = 4
	ports := freePorts(portsOfNode * len(zones))
	at := func(i, n int) string { return fmt.Sprintf("127.0.0.1:%d", ports[portsOfNode*i+n]) }
	var seeds []string
	all := map[string]string{}
	for i, z := range zones {
		if len(seeds) < 3 {
			seeds = append(seeds, at(i, 2))
		}
		all[z] = "valpo"
	}
	var l []*node
	for i, z := range zones {
		n := &node{name: fmt.Sprintf("front-%s-%d", z, i+1), zone: z, front: at(i, 0), ready: at(i, 1)}
		n.settings = filepath.Join(dir, n.name+".json")
		b, err := json.Marshal(map[string]any{
			"nodeName": n.name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"},
			"ip": "127.0.0.1", "zone": z, "region": "valpo", "zones": all,
			"listen":            map[string]string{"front": n.front, "readiness": n.ready, "control": at(i, 2)},
			"internalPortRange": []int{ports[portsOfNode*i+3], ports[portsOfNode*i+3]},
			"seeds":             seeds, "bootstrap": true,
			"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
			"discovery": "platform", "entry": "vip", "heartbeatMs": heartbeat.Milliseconds(),
			"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"},
			"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
			"bounds": map[string]any{
				"seedLagS": 3, "reuseAfterS": 2, "contactMs": 4000, "ackMs": 5000, "catchUpS": 4, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200,
				"configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 12000, "retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56,
				"exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000, "warmupFactor": 1.5, "warmupSlack": 5, "evacuationMs": 5000, "recoveryS": 12,
			},
			"platform": map[string]any{"address": storeAddr, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000},
		})
		check(err)
		check(os.WriteFile(n.settings, b, 0o644))
		n.log, err = os.Create(filepath.Join(dir, n.name+".log"))
		check(err)
		n.start(program)
		n.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
		l = append(l, n)
	}
	return l
}

func (n *node) start(program string) {
	n.command = exec.Command(program, "entry")
	n.command.Env = append(os.Environ(), "COWSLIPFLOW_NODE_FILE="+n.settings)
	n.command.Stdout, n.command.Stderr = n.log, n.log
	n.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(n.command.Start())
}

func (n *node) isReady() bool {
	c := &http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func awaitReady(l []*node) bool {
	end := time.Now().Add(15 * time.Second)
	for _, n := range l {
		for !n.isReady() {
			if time.Now().After(end) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

func stopNodes(l []*node) {
	for _, n := range l {
		n.command.Process.Kill()
		n.command.Wait()
		n.log.Close()
	}
}

// send sends one attempt of a requester and records it.
func (n *node) send(l *record, method, host, path, id string, deadline time.Duration, body []byte) (int, http.Header) {
	r, err := http.NewRequest(method, "http://"+n.front+path, bytes.NewReader(body))
	check(err)
	r.Host = host
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	l.add("sent", "id", id, "node", n.name, "method", method, "path", path)
	c := *n.client
	c.Timeout = deadline + time.Second
	p, err := c.Do(r)
	if err != nil {
		l.add("answer", "id", id, "node", n.name, "path", path, "status", "0", "error", err.Error())
		return 0, nil
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		l.add("answer", "id", id, "node", n.name, "path", path, "status", "0", "error", err.Error())
		return 0, nil
	}
	l.add("answer", "id", id, "node", n.name, "path", path, "status", fmt.Sprint(p.StatusCode), "stamp", p.Header.Get("X-Server-Stamp"), "retryAfter", p.Header.Get("Retry-After"), "body", strings.TrimSpace(string(b[:min(len(b), 80)])))
	return p.StatusCode, p.Header
}

// route is a route of the configuration to one service.
func route(name, host, prefix, kind, service string, timeout time.Duration) map[string]any {
	return map[string]any{"name": name, "host": host, "prefix": prefix, "type": kind, "timeoutMs": timeout.Milliseconds(), "targetLatencyMs": 400, "priority": 2, "service": service, "attempts": 2}
}

func configuration(version int, services []string, routes ...map[string]any) map[string]any {
	var s []map[string]any
	for _, n := range services {
		s = append(s, map[string]any{"name": n, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0})
	}
	return map[string]any{"version": version, "routes": routes, "services": s, "limits": map[string]int{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}
}
