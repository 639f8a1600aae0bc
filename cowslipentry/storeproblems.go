package cowslipentry

import (
	"log/slog"
	"slices"
	"sync"
)

// maxStoreProblems limits the problems that are logged and shown one by one.
const maxStoreProblems = 50

// storeProblems are what was changed or left out of the store's present values because it cannot be
// used as it is. The zero value has none; it is safe for concurrent use.
type storeProblems struct {
	mu    sync.Mutex
	shown []string // the first maxStoreProblems
	count int
}

// StoreProblems describes the values of the store that cannot be used as they are.
type StoreProblems struct {
	Count int      `json:"count"`
	First []string `json:"first"` // 50 at most
}

// update replaces the problems and logs those that are new.
func (p *storeProblems) update(log *slog.Logger, l []error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var shown []string
	for _, err := range l[:min(len(l), maxStoreProblems)] {
		s := err.Error()
		if shown = append(shown, s); !slices.Contains(p.shown, s) {
			log.Warn("value from the store changed or left out", "problem", s)
		}
	}
	if n := len(l) - len(shown); n > 0 && len(l) != p.count {
		log.Warn("more values from the store changed or left out", "count", n)
	}
	p.shown, p.count = shown, len(l)
}

func (p *storeProblems) status() StoreProblems {
	p.mu.Lock()
	defer p.mu.Unlock()
	return StoreProblems{Count: p.count, First: append([]string{}, p.shown...)}
}
