package cowslipentry

import (
	"cmp"
	"maps"
	"slices"
	"sync"
)

const (
	// maxWorkspaceMetrics is the number of workspaces with published counters of their own,
	// the busiest ones. The others are published together as otherWorkspaces.
	maxWorkspaceMetrics = 32
	otherWorkspaces     = "(others)"
	// maxTrackedWorkspaces limits the memory of the counters. When it is reached, all but
	// the busiest workspaces are counted from the beginning again.
	maxTrackedWorkspaces = 4096
)

// WorkspaceMetrics counts the requests of one workspace by the kind of their answer.
type WorkspaceMetrics map[ReplyKind]int64

func (m WorkspaceMetrics) add(o WorkspaceMetrics) {
	for k, n := range o {
		m[k] += n
	}
}

func (m WorkspaceMetrics) total() int64 {
	var n int64
	for _, x := range m {
		n += x
	}
	return n
}

// workspaceTable counts requests by workspace. Its zero value is empty; it is safe for
// concurrent use.
type workspaceTable struct {
	mu         sync.Mutex
	workspaces map[string]WorkspaceMetrics
	others     WorkspaceMetrics // of workspaces that are not tracked any more
}

// observe counts a request that has ended.
func (t *workspaceTable) observe(workspace string, k ReplyKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := t.workspaces[workspace]
	if m == nil {
		if len(t.workspaces) >= maxTrackedWorkspaces {
			t.workspaces, t.others = t.busiest()
		}
		if t.workspaces == nil {
			t.workspaces = map[string]WorkspaceMetrics{}
		}
		m = WorkspaceMetrics{}
		t.workspaces[workspace] = m
	}
	m[k]++
}

// busiest returns copies of the counters of the maxWorkspaceMetrics busiest workspaces and
// the sum of those of all others.
func (t *workspaceTable) busiest() (busiest map[string]WorkspaceMetrics, others WorkspaceMetrics) {
	names := slices.SortedFunc(maps.Keys(t.workspaces), func(a, b string) int {
		return cmp.Or(cmp.Compare(t.workspaces[b].total(), t.workspaces[a].total()), cmp.Compare(a, b))
	})
	busiest, others = map[string]WorkspaceMetrics{}, WorkspaceMetrics{}
	others.add(t.others)
	for i, n := range names {
		if i < maxWorkspaceMetrics {
			busiest[n] = maps.Clone(t.workspaces[n])
			continue
		}
		others.add(t.workspaces[n])
	}
	return busiest, others
}

// snapshot returns a copy of the counters by workspace.
func (t *workspaceTable) snapshot() map[string]WorkspaceMetrics {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, o := t.busiest()
	if len(o) > 0 {
		m[otherWorkspaces] = o
	}
	return m
}
