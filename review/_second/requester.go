package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const requestTimeout = 12 * time.Second

// sent is what came of a request.
type sent struct {
	id     string
	status int   // of the answer, 0 if there is none
	err    error // why there is no complete answer
	took   time.Duration
}

// upload is a request whose body takes its time.
type upload struct {
	id, head string
	connect  time.Time // when the connection is opened and all but the last byte is sent
	finish   time.Time // when the last byte is sent
}

// send sends the request and reads the answer.
func (u upload) send(addr string) sent {
	x := sent{id: u.id}
	time.Sleep(time.Until(u.connect))
	k, err := net.Dial("tcp", addr)
	if err != nil {
		x.err = err
		return x
	}
	defer k.Close()
	if err := k.SetDeadline(time.Now().Add(requestTimeout)); err != nil {
		x.err = err
		return x
	}
	const body = "entry"
	_, err = fmt.Fprintf(k, "%sX-Request-Id: %s\r\nX-Deadline-Ms: 6000\r\nContent-Length: %d\r\n\r\n%s", u.head, u.id, len(body), body[:len(body)-1])
	if err == nil {
		time.Sleep(time.Until(u.finish))
		_, err = io.WriteString(k, body[len(body)-1:])
	}
	began := time.Now()
	if err != nil {
		x.err = err
		return x
	}
	x.status, x.err = readAnswer(bufio.NewReader(k))
	x.took = time.Since(began)
	return x
}

// readAnswer reads a complete answer and returns its status.
func readAnswer(b *bufio.Reader) (int, error) {
	p, err := http.ReadResponse(b, nil)
	if err != nil {
		return 0, err
	}
	defer p.Body.Close()
	if l, err := io.ReadAll(p.Body); err != nil {
		return 0, err
	} else if len(l) == 0 {
		return 0, errors.New("empty answer")
	}
	return p.StatusCode, nil
}
