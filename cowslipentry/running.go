package cowslipentry

import "sync"

// running counts what runs. Unlike a sync.WaitGroup, it may be added to while others wait, also
// from zero. The zero value is ready to use; it is safe for concurrent use.
type running struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to 0, nil if nobody waits
}

// Begin counts one more.
func (r *running) Begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.n++
}

// End counts one less.
func (r *running) End() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n--; r.n == 0 && r.idle != nil {
		close(r.idle)
		r.idle = nil
	}
}

// Go runs f in a goroutine that counts.
func (r *running) Go(f func()) {
	r.Begin()
	go func() {
		defer r.End()
		f()
	}()
}

// Idle returns a channel that is closed once nothing runs.
func (r *running) Idle() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.idle == nil {
		r.idle = make(chan struct{})
	}
	c := r.idle
	if r.n == 0 {
		close(c)
		r.idle = nil
	}
	return c
}

// Wait waits until nothing runs.
func (r *running) Wait() { <-r.Idle() }
