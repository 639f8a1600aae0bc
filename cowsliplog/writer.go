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
	lines   chan []byte
	dropped atomic.Int64
	flushed chan struct{}
}

// NewWriter starts a writer to out that buffers up to bufferLines lines, 4096 if
// bufferLines is 0 or less.
func NewWriter(out io.Writer, bufferLines int) *Writer {
	if bufferLines <= 0 {
		bufferLines = defaultBufferLines
	}
	w := &Writer{out: out, lines: make(chan []byte, bufferLines), flushed: make(chan struct{})}
	go w.run()
	return w
}

// Write buffers a line without blocking. It never fails: if the buffer is full, the
// line is dropped and counted.
func (w *Writer) Write(b []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), b...):
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
		// An error is ignored, as there is nowhere else to report it.
		_, _ = w.out.Write(b)
	}
}
