package cowsliplog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// defaultBufferLines is the number of lines that wait for the writer.
const defaultBufferLines = 4096

// Writer passes lines on from a goroutine of its own. Make it with NewWriter; it
// is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	flushed chan struct{}
}

// NewWriter starts a writer that holds back as many lines, 4096 if 0.
func NewWriter(to io.Writer, lines int) *Writer {
	if lines <= 0 {
		lines = defaultBufferLines
	}
	w := &Writer{out: to, lines: make(chan []byte, lines), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write takes a line without waiting. It never fails: a line that does not fit
// is dropped and counted.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped is the number of lines dropped and not yet said.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines taken so far are written, or for the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	select {
	case w.lines <- nil:
	case <-time.After(timeout):
		return
	}
	select {
	case <-w.flushed:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	for b := range w.lines {
		if b == nil {
			w.flushed <- struct{}{}
			continue
		}
		if n := w.dropped.Swap(0); n > 0 {
			b = append(b, fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"logLinesDropped\",\"count\":%d,\"reason\":\"buffer full\"}\n", n)...)
		}
		// Where the log goes to nowhere there is nobody to tell.
		_, _ = w.out.Write(b)
	}
}
