package main

import (
	"syscall"
	"time"
)

// stopAndReload stops one machine and, while it finishes its requests, changes the settings
// of both. Rule LOST, around planned work.
func stopAndReload(f *fleet, trouble bool) (bool, error) {
	// 90 ms on average, as on the site, with its longest requests more often.
	if err := f.addService("diary", 4, 60*time.Millisecond, 540*time.Millisecond); err != nil {
		return false, err
	}
	r := route{name: "r-diary", prefix: "/diary/", service: "diary", unsafe: true, timeout: 6 * time.Second, target: 400 * time.Millisecond}
	f.configure([]route{r})
	if err := f.startInstances(); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	g := f.keepCalling(6, 10*time.Millisecond, quit, func(*instance) (route, bool) { return r, true })
	time.Sleep(2 * time.Second)
	stopping := f.instances[0]
	began := time.Now()
	ended := stopping.signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if trouble {
		for _, x := range f.instances {
			x.settings["bounds"].(map[string]any)["retryBudgetSlack"] = 54
			if err := x.writeSettings(); err != nil {
				return false, err
			}
			x.signal(syscall.SIGHUP)
		}
	}
	select {
	case <-ended:
		f.record.say("%s ended %.2f s after SIGTERM", stopping.name, time.Since(began).Seconds())
	case <-time.After(graceTime):
		stopping.signal(syscall.SIGKILL)
		f.record.say("%s did not end within its grace period", stopping.name)
	}
	time.Sleep(time.Second)
	close(quit)
	g.Wait()
	f.summary()
	lost := 0
	for _, k := range f.calls {
		if k.status != 0 || k.unsentBy != nil || k.sent.After(began.Add(graceTime+time.Second)) {
			continue
		}
		passedOn := f.ran(k.id) > 0
		if passedOn || k.ended.Sub(k.sent) > lossSlack {
			lost++
			f.record.line("LOST", k.id, map[bool]string{true: "passed on to a replica, no answer", false: "not passed on, cut late"}[passedOn])
		}
	}
	f.record.say("%d whole requests to %s got no answer", lost, stopping.name)
	return lost == 0, nil
}
