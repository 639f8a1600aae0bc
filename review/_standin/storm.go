package main

import (
	"time"
)

// changeOften grows the configuration step by step and then changes it again and again.
// Rules LOST and Fault.
func changeOften(f *fleet, trouble bool) (bool, error) {
	if err := f.addService("lookup", 6, 20*time.Millisecond, 180*time.Millisecond); err != nil {
		return false, err
	}
	const (
		steps      = 14
		stormTime  = 4 * time.Second
		stormGap   = 330 * time.Millisecond
		stormCount = 17
		betweenGap = 400 * time.Millisecond
	)
	l := manyRoutes(growth, "lookup")
	f.configure(l)
	if err := f.startInstances(); err != nil {
		return false, err
	}
	quit := make(chan struct{})
	g := f.keepCalling(6, 20*time.Millisecond, quit, func(*instance) (route, bool) { return l[0], true })
	if trouble {
		size := 0
		for i := range steps - 1 {
			size = f.configure(manyRoutes(growth*(i+2), "lookup"))
			time.Sleep(time.Second)
		}
		m := manyRoutes(growth*steps, "lookup")
		f.record.say("the configuration has %d routes and %d bytes; a value of the store may have %d", len(m), size, valueBytes)
		for range stormCount {
			for end := time.Now().Add(stormTime); time.Now().Before(end); time.Sleep(stormGap) {
				m[len(m)-1].timeout += time.Millisecond
				f.configure(m)
			}
			time.Sleep(betweenGap)
		}
	} else {
		time.Sleep(10 * time.Second)
	}
	close(quit)
	g.Wait()
	f.summary()
	return f.judgeEnds(), nil
}
