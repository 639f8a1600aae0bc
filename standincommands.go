package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipsignal"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"
)

func standinCommands() []subcommand {
	return []subcommand{
		{"platform", "run a stand-in for the platform", "standin platform --listen 127.0.0.1:7600", &platformCommand{}},
		{"targets", "run stand-in targets of one service", "standin targets --service diaries --shards 20 --replicas 2 --failure-domain cerro --failure-domain plan", &targetsCommand{}},
	}
}

type platformCommand struct {
	Listen string `long:"listen" default:"127.0.0.1:7600" description:"address to listen on"`
}

// Execute runs the platform stand-in until SIGTERM or SIGINT.
func (c *platformCommand) Execute([]string) error {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return exitErrorf(exitUsage, "--listen: %v", err)
	}
	ctx := cowslipsignal.StopContext()
	return cowslipstandin.ServePlatform(ctx, l, cowslipstandin.NewPlatform(nil))
}

type targetsCommand struct {
	Platform       string        `long:"platform" default:"http://127.0.0.1:7600" description:"URL of the platform stand-in to register the targets with"`
	Service        string        `long:"service" required:"yes" description:"service that the targets serve"`
	Version        string        `long:"target-version" default:"v1" description:"version of the targets"`
	Shards         int           `long:"shards" default:"1" description:"number of shards of the service"`
	Replicas       int           `long:"replicas" default:"2" description:"number of replicas per shard"`
	FailureDomains []string      `long:"failure-domain" required:"yes" description:"failure domain to place replicas in; may be repeated"`
	IndexVersion   uint64        `long:"index-version" default:"1" description:"index version that the targets hold"`
	Slots          int           `long:"slots" default:"2" description:"number of requests that a target runs at once"`
	Connections    int           `long:"connections" default:"25" description:"number of connections that a target accepts"`
	ConnectTime    time.Duration `long:"connect-time" default:"6ms" description:"time to open a new connection"`
	WarmTime       time.Duration `long:"warm-time" default:"0s" description:"time after its start during which a target is cold"`
	Latency        time.Duration `long:"latency" default:"2ms" description:"mean latency of a request"`
}

// Execute runs the targets until SIGTERM or SIGINT.
func (c *targetsCommand) Execute([]string) error {
	if err := checkURL("--platform", c.Platform); err != nil {
		return err
	}
	ctx := cowslipsignal.StopContext()
	f := targetFleet{service: c.Service, version: c.Version, shards: c.Shards, replicas: c.Replicas, domains: c.FailureDomains, indexVersion: c.IndexVersion, template: cowslipstandin.TargetOptions{
		Slots: c.Slots, Connections: c.Connections, ConnectTime: c.ConnectTime, WarmTime: c.WarmTime, Latency: c.Latency,
	}}
	l, err := f.start()
	if err != nil {
		return err
	}
	for _, t := range l {
		if err := register(ctx, c.Platform, instanceOf(t)); err != nil {
			return exitErrorf(exitFailed, "platform: %v", err)
		}
	}
	<-ctx.Done()
	for _, t := range l {
		t.Kill()
	}
	return nil
}

// targetFleet describes the stand-in targets of one service.
type targetFleet struct {
	service, version string
	shards, replicas int
	domains          []string
	indexVersion     uint64
	template         cowslipstandin.TargetOptions
}

func (f targetFleet) start() ([]*cowslipstandin.Target, error) {
	var l []*cowslipstandin.Target
	for s := range f.shards {
		lo, hi := cowslipstandin.ShardRange(s, f.shards)
		for r := range f.replicas {
			o := f.template
			o.ID = fmt.Sprintf("%s-%s-%d-%d", f.service, f.version, s, r)
			o.Service, o.Version = f.service, f.version
			o.FailureDomain = f.domains[(s+r)%len(f.domains)]
			o.Holdings = []cowsliptarget.Holding{{IndexVersion: f.indexVersion, Lo: lo, Hi: hi}}
			o.Seed = uint64(len(l))
			t, err := cowslipstandin.StartTarget("127.0.0.1:0", o)
			if err != nil {
				return l, err
			}
			l = append(l, t)
		}
	}
	return l, nil
}

func instanceOf(t *cowslipstandin.Target) cowslipplatform.Instance {
	o := t.Options()
	return cowslipplatform.Instance{ID: o.ID, Service: o.Service, Addr: t.Addr(), FailureDomain: o.FailureDomain, Version: o.Version}
}

func register(ctx context.Context, platform string, i cowslipplatform.Instance) error {
	b, err := json.Marshal(i)
	if err != nil {
		return err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, platform+"/v1/instances", bytes.NewReader(b))
	if err != nil {
		return err
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	return p.Body.Close()
}
