package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// call is one request of a caller and what came of it.
type call struct {
	id       string
	front    string
	route    route
	kept     bool // the connection had carried a request before
	sent     time.Time
	ended    time.Time
	status   int // 0 if the connection ended without a complete answer
	body     string
	unsentBy error // the request could not be sent whole
}

// caller sends requests to one machine on a connection that it keeps.
type caller struct {
	front  string
	record *record

	conn   net.Conn
	reader *bufio.Reader
	used   bool
}

const callTimeout = 8 * time.Second

// send sends a request and waits for its answer. It returns nil if no connection could be
// opened.
func (c *caller) send(id string, r route) *call {
	if c.conn == nil {
		n, err := net.DialTimeout("tcp", c.front, time.Second)
		if err != nil {
			return nil
		}
		c.conn, c.reader, c.used = n, bufio.NewReader(n), false
	}
	k := &call{id: id, front: c.front, route: r, kept: c.used}
	method, body := "GET", ""
	if r.unsafe {
		method, body = "POST", "entry "+id
	}
	c.conn.SetDeadline(time.Now().Add(callTimeout))
	_, err := fmt.Fprintf(c.conn, "%s %sq HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", method, r.prefix, host, id, r.timeout.Milliseconds(), len(body), body)
	k.sent = time.Now()
	c.record.line("sent", id, method+" "+r.prefix+"q to "+c.front)
	if err != nil {
		k.unsentBy = err
		c.end(k, "not sent: "+err.Error())
		return k
	}
	p, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.end(k, "no answer: "+err.Error())
		return k
	}
	b, err := io.ReadAll(p.Body)
	if err != nil {
		c.end(k, "no whole answer: "+err.Error())
		return k
	}
	k.ended, k.status, k.body, c.used = time.Now(), p.StatusCode, string(b), true
	c.record.line("answered", id, fmt.Sprint(p.StatusCode, " ", k.body))
	if p.Close {
		c.conn.Close()
		c.conn = nil
	}
	return k
}

func (c *caller) end(k *call, reason string) {
	k.ended = time.Now()
	c.record.line("ended", k.id, reason)
	c.conn.Close()
	c.conn = nil
}

func (c *caller) close() {
	if c.conn != nil {
		c.conn.Close()
	}
}
