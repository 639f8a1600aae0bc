package cowslipentry_test

import (
	"sync"
	"time"
)

const (
	// stallTick is how often a watchdog wakes.
	stallTick = 10 * time.Millisecond
	// stallDivisor is the part of a query's deadline, a quarter, that the whole
	// process must have stood still for its late parts to say nothing.
	stallDivisor = 4
)

// watchdog measures when the test's process as a whole did not run, so that an
// answer that the machine made late is told from one that the code made late.
type watchdog struct {
	mu     sync.Mutex
	stalls []stall
	quit   chan bool
	done   chan bool
}

// stall is a time in which the process did not run.
type stall struct {
	end      time.Time // its end
	duration time.Duration
}

func startWatchdog() *watchdog {
	w := &watchdog{quit: make(chan bool), done: make(chan bool)}
	go func() {
		defer close(w.done)
		t := time.NewTicker(stallTick)
		defer t.Stop()
		for last := time.Now(); ; {
			select {
			case <-w.quit:
				return
			case <-t.C:
			}
			now := time.Now()
			if d := now.Sub(last) - 2*stallTick; d > 0 {
				w.mu.Lock()
				w.stalls = append(w.stalls, stall{end: now, duration: d})
				w.mu.Unlock()
			}
			last = now
		}
	}()
	return w
}

func (w *watchdog) stop() {
	close(w.quit)
	<-w.done
}

// stalled tells whether the process stood still for too much of a query that
// began at from and is over, to judge what was late in it.
func (w *watchdog) stalled(from time.Time, deadline time.Duration) bool {
	time.Sleep(2 * stallTick) // the watchdog notes a stall when it wakes, too
	w.mu.Lock()
	defer w.mu.Unlock()
	var sum time.Duration
	for _, s := range w.stalls {
		if s.end.After(from) {
			sum += min(s.duration, s.end.Sub(from))
		}
	}
	return sum >= deadline/stallDivisor
}
