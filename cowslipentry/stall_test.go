package cowslipentry_test

import (
	"sync"
	"time"
)

const (
	// stallTick is the time between two wake-ups of a watchdog.
	stallTick = 10 * time.Millisecond
	// stallDivisor sets how long the process must have been paused during a query for
	// its late parts to be excused: a quarter of the query's deadline.
	stallDivisor = 4
)

// watchdog records when the test process as a whole did not run, to distinguish answers
// that the machine delayed from those that the code delayed.
type watchdog struct {
	mu     sync.Mutex
	stalls []stall
	quit   chan bool
	done   chan bool
}

// stall is a period in which the process did not run.
type stall struct {
	end      time.Time
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

// stalled reports whether the process was paused for long enough since from, when a
// query began, to excuse its late parts. The query must have ended.
func (w *watchdog) stalled(from time.Time, deadline time.Duration) bool {
	time.Sleep(2 * stallTick) // the watchdog records a stall only when it wakes up
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
