package cowslipquery

import (
	"slices"
	"time"

	"cowslipflow/cowsliproute"
)

func (d *Dispatch) pick(n int, ownDomain, idle bool, now time.Time) *cowsliproute.Target {
	for _, v := range d.options.Parts[n].Versions.Sets() {
		o := cowsliproute.PickOptions{Version: v, OwnDomainOnly: ownDomain, IdleOnly: idle, Exclude: d.parts[n].tried, Now: now, PreferOwnDomain: d.options.PreferOwnDomain}
		if t := d.options.View.Pick(d.options.Parts[n].Replicas, o, d.options.Rand); t != nil {
			return t
		}
	}
	return nil
}

// mayTryAnother reports whether part n is within its attempt limits and has a
// replica that was not tried yet, even if that replica has no capacity now.
func (d *Dispatch) mayTryAnother(n int, ownDomain bool) bool {
	p := &d.parts[n]
	if p.attempts >= d.maxAttempts(n) || p.sends >= d.maxSends() {
		return false
	}
	return slices.ContainsFunc(d.options.Parts[n].Versions.Sets(), func(v cowsliproute.VersionSet) bool { return d.hasUntriedReplica(n, v, ownDomain) })
}

func (d *Dispatch) hasUntriedReplica(n int, version cowsliproute.VersionSet, ownDomain bool) bool {
	return slices.ContainsFunc(d.options.Parts[n].Replicas, func(t *cowsliproute.Target) bool {
		i := t.Info()
		if !version.AllowsTarget(i) || ownDomain && i.FailureDomain != d.options.View.FailureDomain() || t.Leaving() {
			return false
		}
		return !slices.Contains(d.parts[n].tried, t)
	})
}
