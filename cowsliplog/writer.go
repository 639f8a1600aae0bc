package cowsliplog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// defaultBufferLines is the default number of lines that the buffer holds.
const defaultBufferLines = 4096

// Writer buffers lines and writes them from its own goroutine. Create one with
// NewWriter. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan line
	dropped atomic.Int64
}

// line is a buffered line. If flushed is set, it is no line, but a mark up to which the
// lines are written when flushed is closed.
type line struct {
	text    []byte
	flushed chan struct{}
}

// NewWriter starts a writer to out that buffers up to bufferLines lines, 4096 if
// bufferLines is 0 or less.
func NewWriter(out io.Writer, bufferLines int) *Writer {
	if bufferLines <= 0 {
		bufferLines = defaultBufferLines
	}
	w := &Writer{out: out, lines: make(chan line, bufferLines)}
	go w.run()
	return w
}

// Write buffers a line without blocking. It never fails: if the buffer is full, the
// line is dropped and counted, as is one that cannot be written.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- line{text: append([]byte(nil), b...)}:
	default:
		w.dropped.Add(1)
	}
	return len(b), nil
}

// Dropped returns the number of dropped lines that the log does not state yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Flush waits until the lines buffered so far are written. It gives up if the
// buffer stays full for the timeout, or if the writes then take longer than the
// timeout.
func (w *Writer) Flush(timeout time.Duration) {
	m := line{flushed: make(chan struct{})}
	select {
	case w.lines <- m:
	case <-time.After(timeout):
		return
	}
	select {
	case <-m.flushed:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	for l := range w.lines {
		if l.flushed != nil {
			close(l.flushed)
			continue
		}
		b := l.text
		n := w.dropped.Swap(0)
		if n > 0 {
			b = append(b, fmt.Sprintf("{\"level\":\"WARN\",\"msg\":\"logLinesDropped\",\"count\":%d,\"reason\":\"buffer full or write failed\"}\n", n)...)
		}
		if _, err := w.out.Write(b); err != nil {
			w.dropped.Add(n + 1)
		}
	}
}
