package cowslipstandin

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// Relay forwards TCP connections to an address and can cut them silently, as a
// network partition does. Make it with StartRelay.
type Relay struct {
	listener net.Listener
	target   string
	cut      atomic.Bool
	mu       sync.Mutex
	conns    []net.Conn
}

// StartRelay starts a relay to target on a free loopback port.
func StartRelay(target string) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{listener: l, target: target}
	go r.accept()
	return r, nil
}

// Addr is where the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut drops what crosses the relay from now on, or lets it pass again. What
// was dropped stays lost.
func (r *Relay) Cut(c bool) {
	r.cut.Store(c)
	if !c {
		r.closeConns()
	}
}

// Close ends the relay.
func (r *Relay) Close() {
	r.listener.Close()
	r.closeConns()
}

func (r *Relay) closeConns() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.Close()
	}
	r.conns = nil
}

func (r *Relay) accept() {
	for {
		a, err := r.listener.Accept()
		if err != nil {
			return
		}
		b, err := net.Dial("tcp", r.target)
		if err != nil {
			a.Close()
			continue
		}
		r.mu.Lock()
		r.conns = append(r.conns, a, b)
		r.mu.Unlock()
		go r.copy(a, b)
		go r.copy(b, a)
	}
}

func (r *Relay) copy(to, from net.Conn) {
	defer to.Close()
	b := make([]byte, 32<<10)
	for {
		n, err := from.Read(b)
		if err != nil && err != io.EOF {
			return
		}
		if n > 0 && !r.cut.Load() {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
