package cowslipcontrol

import (
	"maps"
	"time"
)

const (
	// checkpointFraction is the time between two checkpoints as a fraction of the
	// duration of the move.
	checkpointFraction = 1.0 / 16
	// The recent requests are counted from these numbers of checkpoints ago: half of the
	// duration, a quarter and an eighth.
	halfAgo    = 8
	quarterAgo = 4
	eighthAgo  = 2
	// checkpointCount is the number of checkpoints that are kept.
	checkpointCount = halfAgo
)

// checkpoint is the state of the comparisons of a move at one time. Unlike the history, the
// checkpoints of a move reach back over a fixed part of its duration.
type checkpoint struct {
	at          time.Time
	comparisons map[evidenceKey]comparison
	requests    map[string]uint64 // to both versions, by route
}

// recordCheckpoint records a checkpoint if one is due.
func (m *move) recordCheckpoint(now time.Time) {
	d := time.Duration(checkpointFraction * float64(m.duration()))
	if n := len(m.checkpoints); n > 0 && now.Sub(m.checkpoints[n-1].at) < d {
		return
	}
	m.checkpoints = append(m.checkpoints, checkpoint{at: now, comparisons: maps.Clone(m.comparisons), requests: m.requestsByRoute()})
	if len(m.checkpoints) > checkpointCount {
		m.checkpoints = m.checkpoints[1:]
	}
}

// requestsByRoute sums the last pooled requests to both versions by route.
func (m *move) requestsByRoute() map[string]uint64 {
	r := map[string]uint64{}
	for k, x := range m.latestPooled() {
		r[k.route] += x.requests
	}
	return r
}

// checkpointAgo returns the checkpoint that was recorded n checkpoints ago, and false if there
// is none.
func (m *move) checkpointAgo(n int) (checkpoint, bool) {
	if n > len(m.checkpoints) {
		return checkpoint{}, false
	}
	return m.checkpoints[len(m.checkpoints)-n], true
}

// recentCheckpoints returns the checkpoints from which the recent requests are counted, as far
// as they exist.
func (m *move) recentCheckpoints() []checkpoint {
	var l []checkpoint
	for _, n := range []int{halfAgo, quarterAgo, eighthAgo} {
		if k, ok := m.checkpointAgo(n); ok {
			l = append(l, k)
		}
	}
	return l
}
