package cowsliplog

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// RateLimiter is a slog.Handler that passes on at most so many lines of each message
// in a second; the first line after a second with more tells how many were left
// out. Make it with NewBudget; it is safe for concurrent use.
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

// NewRateLimiter limits each message to a number of lines a second.
func NewRateLimiter(to slog.Handler, lines int) *RateLimiter {
	return &RateLimiter{next: to, linesPerSecond: lines, windows: &messageWindows{byMessage: map[string]*window{}}}
}

// Enabled tells whether lines of a level are passed on.
func (b *RateLimiter) Enabled(ctx context.Context, l slog.Level) bool { return b.next.Enabled(ctx, l) }

// Handle passes a line on if the budget of its message allows it. Errors and
// warnings draw on a budget like all others: a storm of them says nothing new.
func (b *RateLimiter) Handle(ctx context.Context, r slog.Record) error {
	ok, skipped := b.windows.allow(r.Message, r.Time, b.linesPerSecond)
	if !ok {
		return nil
	}
	if skipped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("leftOut", skipped))
	}
	return b.next.Handle(ctx, r)
}

// WithAttrs gives a handler with attributes and the same budgets.
func (b *RateLimiter) WithAttrs(a []slog.Attr) slog.Handler {
	return &RateLimiter{next: b.next.WithAttrs(a), linesPerSecond: b.linesPerSecond, windows: b.windows}
}

// WithGroup gives a handler with a group and the same budgets.
func (b *RateLimiter) WithGroup(name string) slog.Handler {
	return &RateLimiter{next: b.next.WithGroup(name), linesPerSecond: b.linesPerSecond, windows: b.windows}
}

// allow counts a line. A clock that is set back starts a new second.
func (k *messageWindows) allow(kind string, at time.Time, lines int) (ok bool, skipped int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	w := k.byMessage[kind]
	if w == nil {
		w = &window{start: at}
		k.byMessage[kind] = w
	}
	if d := at.Sub(w.start); d >= time.Second || d < 0 {
		skipped = w.suppressed
		*w = window{start: at}
	}
	if w.allowed >= lines {
		w.suppressed++
		return false, 0
	}
	w.allowed++
	return true, skipped
}
