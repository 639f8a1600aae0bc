package cowsliplog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// RateLimiter is a slog.Handler that limits how many lines of each message it passes
// to the next handler per second. If lines were suppressed, the next line of that
// message in a later second carries their number as leftOut. Create one with
// NewRateLimiter. It is safe for concurrent use.
type RateLimiter struct {
	next           slog.Handler
	linesPerSecond int
	windows        *messageWindows
}

type messageWindows struct {
	mu        sync.Mutex
	byMessage map[string]*window
}

type window struct {
	start      time.Time
	allowed    int
	suppressed int
}

// NewRateLimiter returns a RateLimiter that passes at most linesPerSecond lines of each
// message per second to next.
func NewRateLimiter(next slog.Handler, linesPerSecond int) *RateLimiter {
	return &RateLimiter{next: next, linesPerSecond: linesPerSecond, windows: &messageWindows{byMessage: map[string]*window{}}}
}

// Enabled reports whether the next handler handles lines of a level.
func (b *RateLimiter) Enabled(ctx context.Context, l slog.Level) bool { return b.next.Enabled(ctx, l) }

// Handle passes a line on if the rate limit of its message allows it. Errors and
// warnings are limited too, since repetitions of them carry no new information.
func (b *RateLimiter) Handle(ctx context.Context, r slog.Record) error {
	ok, suppressed := b.windows.allow(r.Message, r.Time, b.linesPerSecond)
	if !ok {
		return nil
	}
	if suppressed > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("leftOut", suppressed))
	}
	return b.next.Handle(ctx, r)
}

// WithAttrs returns a handler with the attributes added. It shares its limits with
// b.
func (b *RateLimiter) WithAttrs(a []slog.Attr) slog.Handler {
	return &RateLimiter{next: b.next.WithAttrs(a), linesPerSecond: b.linesPerSecond, windows: b.windows}
}

// WithGroup returns a handler with the group added. It shares its limits with b.
func (b *RateLimiter) WithGroup(name string) slog.Handler {
	return &RateLimiter{next: b.next.WithGroup(name), linesPerSecond: b.linesPerSecond, windows: b.windows}
}

// allow counts a line of a message. It reports whether the line is within the limit and,
// at the start of a new window, how many lines the previous window suppressed. A clock
// that is set back starts a new window.
func (k *messageWindows) allow(message string, at time.Time, linesPerSecond int) (ok bool, suppressed int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.byMessage[message]
	if w == nil {
		w = &window{start: at}
		k.byMessage[message] = w
	}
	if d := at.Sub(w.start); d >= time.Second || d < 0 {
		suppressed = w.suppressed
		*w = window{start: at}
	}
	if w.allowed >= linesPerSecond {
		w.suppressed++
		return false, 0
	}
	w.allowed++
	return true, suppressed
}
