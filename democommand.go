package main

import (
	"context"
	_ "embed"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipsignal"
	"cowslipflow/cowslipstandin"
)

//go:embed demo.toml
var demoConfig string

// demoTimeout limits each step of the demo, such as the start of its instances.
const demoTimeout = 10 * time.Second

type demoCommand struct{}

// demo runs a platform, targets and entry instances inside one process.
type demo struct {
	platform    *cowslipstandin.Platform
	targets     []*cowslipstandin.Target
	callerURLs  []string
	operatorURL string
	running     sync.WaitGroup
}

// Execute runs the demo.
func (*demoCommand) Execute([]string) error {
	ctx, stop := context.WithCancel(cowslipsignal.StopContext())
	d := &demo{platform: cowslipstandin.NewPlatform(nil)}
	defer d.running.Wait()
	defer stop()
	if err := d.start(ctx); err != nil {
		return err
	}
	return d.show()
}

func (d *demo) start(ctx context.Context) error {
	domains := []string{"cerro", "plan", "puerto"}
	t := cowslipstandin.TargetOptions{Slots: 2, Connections: 25, ConnectTime: 6 * time.Millisecond, Latency: 3 * time.Millisecond}
	for _, f := range []targetFleet{
		{service: "diaries", version: "v1", shards: 20, replicas: 2, domains: domains, indexVersion: 1, template: t},
		{service: "households", version: "v1", shards: 1, replicas: 3, domains: domains, indexVersion: 1, template: t},
	} {
		l, err := f.start()
		if err != nil {
			return err
		}
		d.targets = append(d.targets, l...)
	}
	for _, x := range d.targets {
		d.platform.SetInstance(instanceOf(x))
	}
	for i := range 2 {
		if err := d.startEntry(ctx, fmt.Sprintf("e%d", i+1), domains[i]); err != nil {
			return err
		}
	}
	return nil
}

func (d *demo) startEntry(ctx context.Context, id, domain string) error {
	o := cowslipentry.Options{ID: id, FailureDomain: domain, Store: d.platform.Store(id), DrainWait: time.Millisecond, Log: newLogger(slog.LevelWarn)}
	for _, l := range []*net.Listener{&o.Callers, &o.Operators, &o.Peers} {
		n, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		*l = n
	}
	e, err := cowslipentry.New(o)
	if err != nil {
		return err
	}
	d.callerURLs = append(d.callerURLs, "http://"+o.Callers.Addr().String())
	d.operatorURL = "http://" + o.Operators.Addr().String()
	d.running.Go(func() {
		if err := e.Run(ctx); err != nil {
			fmt.Println(id, "failed:", err)
		}
	})
	return nil
}

func (d *demo) show() error {
	fmt.Println("Two entry instances, 43 targets in 3 failure domains, one platform stand-in: all in this process.")
	op := httpClient{url: d.operatorURL, timeout: demoTimeout}
	var a cowslipentry.ApplyAnswer
	if err := op.call("POST", "/v1/config", cowslipentry.ApplyRequest{Text: demoConfig, By: "demo"}, &a); err != nil {
		return err
	}
	fmt.Printf("The configuration was accepted as revision %d.\n\n", a.Revision)
	for _, c := range d.callerURLs {
		if err := awaitReady(c); err != nil {
			return err
		}
	}
	q, err := d.query()
	if err != nil {
		return err
	}
	fmt.Println("query to diaries, sent to 20 shards:")
	printAnswer(q)
	fmt.Printf("  first item: %q\n  last item:  %q\n\n", q.Answers[0].Items[0].Text, q.Answers[0].Items[len(q.Answers[0].Items)-1].Text)
	return d.showRecord()
}

// query repeats a query until the targets have warmed up and the answer is complete.
func (d *demo) query() (cowslipentry.QueryAnswer, error) {
	var q cowslipentry.QueryAnswer
	s := httpClient{url: d.callerURLs[0], timeout: demoTimeout}
	for start := time.Now(); time.Since(start) < demoTimeout; time.Sleep(200 * time.Millisecond) {
		q = cowslipentry.QueryAnswer{}
		if err := s.call("POST", "/v1/query", cowslipentry.QueryRequest{Service: "diaries", Query: "household 4711", DeadlineMillis: 300}, &q); err == nil && q.Complete {
			return q, nil
		}
	}
	return q, exitErrorf(exitPartial, "no complete answer within %v", demoTimeout)
}

// showRecord sends a record with the same idempotency key through both instances.
func (d *demo) showRecord() error {
	fmt.Println("record to households, sent with one key through both entry instances:")
	for i, c := range d.callerURLs {
		var r cowslipentry.RecordAnswer
		s := httpClient{url: c, timeout: demoTimeout}
		if err := s.call("POST", "/v1/record", cowslipentry.RecordRequest{Service: "households", Key: "visit-17", Body: "diary entry 1", DeadlineMillis: 2000}, &r); err != nil {
			return err
		}
		fmt.Printf("  through e%d: %q, repeated: %v\n", i+1, r.Result, r.Repeated)
	}
	n := 0
	for _, t := range d.targets {
		for _, r := range t.Record().Runs {
			if r.Record && r.Ran {
				n++
			}
		}
	}
	fmt.Printf("  according to the targets, it ran %d time(s)\n", n)
	return nil
}

func awaitReady(url string) error {
	for start := time.Now(); time.Since(start) < demoTimeout; time.Sleep(50 * time.Millisecond) {
		p, err := http.Get(url + "/v1/ready")
		if err != nil {
			continue
		}
		p.Body.Close()
		if p.StatusCode == http.StatusOK {
			return nil
		}
	}
	return exitErrorf(exitFailed, "%s is not ready after %v", url, demoTimeout)
}
