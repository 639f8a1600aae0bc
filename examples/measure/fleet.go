package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os/exec"
	"syscall"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"
)

const waitTimeout = 20 * time.Second

const config = `
[[failureDomains]]
name = "cerro"
[[failureDomains]]
name = "plan"
[[failureDomains]]
name = "puerto"
[[services]]
name = "diaries"
kind = "wide"
version = "v1"
shards = 30
connectTime = "6ms"
warmTime = "1s"
deadline = "400ms"
`

// fleet is one installation: targets inside this process, each with its own record of
// requests, and the platform stand-in and the entry instances as processes.
type fleet struct {
	processes []*exec.Cmd
	platform  string
	targets   []*cowslipstandin.Target
	callers   []string
	operators []string
}

func startFleet(program, baselineFlag string) (*fleet, error) {
	f := &fleet{}
	a, err := freeAddr()
	if err != nil {
		return f, err
	}
	f.platform = "http://" + a
	if err := f.run(program, "standin", "platform", "--listen", a); err != nil {
		return f, err
	}
	if err := await(f.platform + "/v1/record"); err != nil {
		return f, err
	}
	if err := f.startTargets(); err != nil {
		return f, err
	}
	for i := range entryCount {
		if err := f.startEntry(program, i, baselineFlag); err != nil {
			return f, err
		}
	}
	if err := await(f.operators[0] + "/v1/config"); err != nil {
		return f, err
	}
	if err := f.apply(config); err != nil {
		return f, err
	}
	for _, c := range f.callers {
		if err := await(c + "/v1/ready"); err != nil {
			return f, err
		}
	}
	time.Sleep(cowslipcontrol.JoinGrace)
	return f, nil
}

func (f *fleet) run(program string, args ...string) error {
	c := exec.Command(program, args...)
	if err := c.Start(); err != nil {
		return err
	}
	f.processes = append(f.processes, c)
	return nil
}

func (f *fleet) startTargets() error {
	for s := range shards {
		lo, hi := cowslipstandin.ShardRange(s, shards)
		for r := range replicas {
			o := cowslipstandin.TargetOptions{
				ID: fmt.Sprintf("diaries-%d-%d", s, r), Service: "diaries", Version: "v1", FailureDomain: domains[(s+r)%len(domains)],
				Holdings: []cowsliptarget.Holding{{IndexVersion: 1, Lo: lo, Hi: hi}},
				Slots:    2, Queue: 4, Connections: 25, ConnectTime: 6 * time.Millisecond, Latency: targetLatency, NetworkDelay: networkDelay, Seed: uint64(2*s + r),
			}
			t, err := cowslipstandin.StartTarget("127.0.0.1:0", o)
			if err != nil {
				return err
			}
			f.targets = append(f.targets, t)
			i := cowslipplatform.Instance{ID: o.ID, Service: o.Service, Addr: t.Addr(), FailureDomain: o.FailureDomain, Version: o.Version}
			if _, err := sendJSON(http.MethodPut, f.platform+"/v1/instances", i, nil); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) startEntry(program string, i int, baselineFlag string) error {
	var a [3]string
	for n := range a {
		var err error
		if a[n], err = freeAddr(); err != nil {
			return err
		}
	}
	args := []string{"entry", "--id", fmt.Sprint("e", i+1), "--failure-domain", domains[i%len(domains)], "--platform", f.platform, "--callers", a[0], "--operators", a[1], "--peers", a[2]}
	if baselineFlag != "" {
		args = append(args, baselineFlag)
	}
	f.callers = append(f.callers, "http://"+a[0])
	f.operators = append(f.operators, "http://"+a[1])
	return f.run(program, args...)
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.Process.Signal(syscall.SIGKILL)
		p.Wait()
	}
	for _, t := range f.targets {
		t.Kill()
	}
}

func (f *fleet) addLatency(target int, extra time.Duration) {
	f.targets[target].SetFaults(cowslipstandin.TargetFaults{Extra: extra})
}

func (f *fleet) kill(target int) { f.targets[target].Kill() }

// takeDomainOutAndBack takes a failure domain out of service for the second quarter of
// the run.
func (f *fleet) takeDomainOutAndBack() {
	time.Sleep(runLength / 4)
	_ = f.apply("revision = 1\n" + config[:len("\n[[failureDomains]]\nname = \"cerro\"\n")] + "state = \"out\"\n" + config[len("\n[[failureDomains]]\nname = \"cerro\"\n"):])
	time.Sleep(runLength / 4)
	_ = f.apply("revision = 2\n" + config)
}

func (f *fleet) apply(t string) error {
	var a cowslipentry.ApplyAnswer
	s, err := sendJSON(http.MethodPost, f.operators[0]+"/v1/config", cowslipentry.ApplyRequest{Text: t, By: "measure"}, &a)
	if err != nil || s != http.StatusOK {
		return fmt.Errorf("apply: status %d, %v", s, err)
	}
	return nil
}

// counters are the numbers of sub-requests of all entry instances together. Needed is one
// for each shard of each query; sent includes hedges and retries.
type counters struct {
	sent, needed int
}

func (f *fleet) counters() counters {
	var c counters
	for _, o := range f.operators {
		var v struct {
			Sent   int `json:"subRequestsSent"`
			Needed int `json:"subRequestsNeeded"`
		}
		if _, err := sendJSON(http.MethodGet, o+"/debug/vars", nil, &v); err == nil {
			c.sent += v.Sent
			c.needed += v.Needed
		}
	}
	return c
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// await waits until a URL answers with status 200.
func await(url string) error {
	for start := time.Now(); time.Since(start) < waitTimeout; time.Sleep(20 * time.Millisecond) {
		if s, err := sendJSON(http.MethodGet, url, nil, nil); err == nil && s == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("no answer from %s", url)
}

var client = &http.Client{Timeout: waitTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 256}}

func sendJSON(method, url string, in, out any) (int, error) {
	b, err := json.Marshal(in)
	if err != nil {
		return 0, err
	}
	r, err := http.NewRequest(method, url, bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	p, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	if out == nil || p.StatusCode != http.StatusOK {
		return p.StatusCode, nil
	}
	return p.StatusCode, json.NewDecoder(p.Body).Decode(out)
}
