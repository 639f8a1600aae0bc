package cowslipcontrol

import (
	"fmt"
	"slices"
	"time"

	"cowslipflow/cowslipexposure"
)

const (
	// minFreshRequests is how many recent requests of a route the new version must have
	// been able to get for the lack of any to count as a doubt.
	minFreshRequests = 5
	// judgeEvidenceAge is how old the evidence of a peer may be when a move is recorded as
	// done.
	judgeEvidenceAge = 2 * time.Second
	// judgeEvidenceShare is the share of instances whose evidence must not be older.
	judgeEvidenceShare = 0.75
	// minLoad is the part of the load after the move that the new version must have had lately.
	minLoad = 0.3
	// minLoadRequests is how many requests that load must make up for the lack of it to count.
	minLoadRequests = 10
)

// doubt describes why a move may not be recorded as done yet, and returns an empty string
// if nothing speaks against it. A version is in doubt if its recent requests look worse
// than those to the old version, at a much weaker level than that of a fault, or if a route
// with enough traffic has no recent requests to it. Recording a move as done cannot be
// undone, so that a version in doubt until evidenceDeadline is taken back. Without a bound on
// its exposure, the new version gets all requests in the end, and is only in doubt by spans
// in which both versions can be compared.
func (c *Control) doubt(now time.Time, m *move) string {
	if c.exposure(m).bounded {
		if r := m.faultSince(nil, doubtThreshold); r != "" {
			return r
		}
	}
	for _, k := range m.recentCheckpoints() {
		if !c.exposure(m).bounded && !m.comparableSince(k) {
			continue
		}
		if r := m.faultSince(k.comparisons, doubtThreshold); r != "" {
			return r
		}
	}
	if r := c.missingFreshRequests(m); r != "" {
		return r
	}
	if r := c.missingLoad(now, m); r != "" {
		return r
	}
	if m.progress(now) < evidenceDeadline {
		return c.missingPeers(now)
	}
	return ""
}

// comparableSince reports whether the old version has got at least as many requests as the new
// one since a checkpoint. Otherwise it is compared by older requests, and trouble of both
// versions would look like a fault of the new one.
func (m *move) comparableSince(k checkpoint) bool {
	var all, sent uint64
	for route, n := range m.requestsByRoute() {
		all += n - min(k.requests[route], n)
	}
	for key, x := range m.comparisons {
		sent += x.requests - k.comparisons[key].requests
	}
	return all >= 2*sent
}

// missingFreshRequests names a route that had traffic in the last quarter of the move's
// duration, none of which reached the new version.
func (c *Control) missingFreshRequests(m *move) string {
	since, ok := m.checkpointAgo(quarterAgo)
	if !ok || !m.proven() {
		return ""
	}
	share := 1.0
	if x := c.exposure(m); x.bounded {
		share = x.share
	}
	fresh := map[string]uint64{}
	for k, x := range m.comparisons {
		fresh[k.route] += x.requests - since.comparisons[k].requests
	}
	for route, n := range m.requestsByRoute() {
		n -= min(since.requests[route], n)
		if fresh[route] == 0 && share*float64(n) >= minFreshRequests {
			return fmt.Sprintf("no recent requests on route %s: 0 of %d", route, n)
		}
	}
	return ""
}

// missingLoad reports that the targets of the new version have not had the load lately that they
// bear after the move, though there were requests enough and the bound allows them.
func (c *Control) missingLoad(now time.Time, m *move) string {
	x := c.exposure(m)
	since, ok := m.checkpointAgo(eighthAgo)
	if !x.bounded || !ok || c.anyCold(now, m) {
		return ""
	}
	var all, recent, sent uint64
	for route, n := range m.requestsByRoute() {
		all += n
		recent += n - min(since.requests[route], n)
	}
	for k, y := range m.comparisons {
		sent += y.requests - since.comparisons[k].requests
	}
	allowed := x.share*float64(all) + exposureFraction*float64(c.o.ExposeSlack)
	load := min(cowslipexposure.LoadShare(len(c.newTargets(m)))*float64(recent), allowed/2)
	if load >= minLoadRequests && float64(sent) < minLoad*load {
		return fmt.Sprintf("no recent requests under load: %d of %.0f", sent, load)
	}
	return ""
}

// anyCold reports whether a target of the new version bears less than its usual load.
func (c *Control) anyCold(now time.Time, m *move) bool {
	return slices.ContainsFunc(c.newTargets(m), func(t *target) bool { return now.Before(t.coldUntil) })
}

// missingPeers reports that the recent evidence of too many instances is missing, so that
// another judge may know better.
func (c *Control) missingPeers(now time.Time) string {
	if c.o.NoPool {
		return ""
	}
	known, all := 1, 1
	for i := range c.peers {
		p := &c.peers[i]
		if p.gone() {
			continue
		}
		all++
		if now.Sub(p.evidenceAt) <= judgeEvidenceAge {
			known++
		}
	}
	if float64(known) < judgeEvidenceShare*float64(all) {
		return fmt.Sprintf("recent evidence of %d of %d instances only", known, all)
	}
	return ""
}
