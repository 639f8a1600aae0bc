package main

import (
	"fmt"
	"syscall"
	"time"
)

// growConfiguration grows the configuration step by step, then moves a route to another
// service, and at last stops and starts both machines. Rules CONFIG and RECOVER.
func growConfiguration(f *fleet, trouble bool) (bool, error) {
	for _, n := range []string{"old", "new"} {
		if err := f.addService(n, 4, 5*time.Millisecond, 60*time.Millisecond); err != nil {
			return false, err
		}
	}
	steps := 4
	if trouble {
		steps = 17
	}
	f.configure(manyRoutes(smallGrowth, "old"))
	if err := f.startInstances(); err != nil {
		return false, err
	}
	var l []route
	for i := range steps - 1 {
		l = manyRoutes(smallGrowth*(i+2), "old")
		f.configure(l)
		time.Sleep(1500 * time.Millisecond)
	}
	l[0].service = "new"
	size := f.configure(l)
	acknowledged := time.Now()
	f.record.say("the configuration has %d routes and %d bytes; a value of the store may have %d", len(l), size, valueBytes)
	time.Sleep(f.site.apply + time.Second)
	wrong, served := 0, 0
	for n := range 40 {
		x := f.instances[n%2]
		c := &caller{front: x.front, record: f.record}
		k := c.send(fmt.Sprint("moved-", n), l[0])
		c.close()
		if k != nil && k.status == 200 && k.body != "answer of new" {
			wrong++
		}
	}
	f.record.say("%d of 40 requests sent from %.1f s after the acknowledgement were run by the old service", wrong, (f.site.apply + time.Second).Seconds())
	for _, x := range f.instances {
		<-x.signal(syscall.SIGTERM)
	}
	time.Sleep(restartDelay + recoveryTime)
	for n := range 40 {
		c := &caller{front: f.instances[n%2].front, record: f.record}
		k := c.send(fmt.Sprint("after-", n), l[1])
		c.close()
		if k != nil && k.status == 200 {
			served++
		}
	}
	f.record.say("%d of 40 requests sent %.0f s after the restart were served; %.0f s after the last acknowledgement", served, recoveryTime.Seconds(), time.Since(acknowledged).Seconds())
	return wrong == 0 && served >= 10, nil
}
