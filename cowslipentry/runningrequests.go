package cowslipentry

import (
	"slices"
	"sync"
)

// runningRequests are the wide requests in flight. The zero value is ready to use. It is safe
// for concurrent use.
type runningRequests struct {
	mu sync.Mutex
	m  map[uint64][]*forward // by what is the same for any caller
}

func (r *runningRequests) add(f *forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.m == nil {
		r.m = map[uint64][]*forward{}
	}
	r.m[f.copies] = append(r.m[f.copies], f)
}

func (r *runningRequests) remove(f *forward) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := slices.DeleteFunc(r.m[f.copies], func(x *forward) bool { return x == f }); len(l) > 0 {
		r.m[f.copies] = l
		return
	}
	delete(r.m, f.copies)
}

func (r *runningRequests) of(copies uint64) []*forward {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.m[copies])
}
