package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes record.txt: what was sent, answered and run, and what was done to the
// processes.
type record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: f, out: bufio.NewWriter(f), began: time.Now()}, nil
}

// line writes what happened to a request or a process.
func (r *record) line(what, subject, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %-9s %s %s\n", time.Since(r.began).Seconds(), what, subject, detail)
}

// say writes a line about the whole run, also to standard output.
func (r *record) say(format string, a ...any) {
	s := fmt.Sprintf(format, a...)
	r.line("note", "", s)
	fmt.Println(s)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
