package cowslipcontrol

import (
	"maps"

	"cowslipflow/cowsliproute"
)

// publish builds a new view if anything visible to requests has changed. It rebuilds
// only the services that have changed.
func (c *Control) publish() {
	if !c.viewDirty && c.view != nil {
		return
	}
	c.viewDirty = false
	v := make(map[string]*cowsliproute.Service, len(c.services))
	for n, s := range c.services {
		if c.view != nil && !c.serviceDirty[n] {
			if o := c.view.Service(n); o != nil {
				v[n] = o
				continue
			}
		}
		if c.targetsDirty[n] {
			s.snapshots = c.buildSnapshots(n)
		}
		v[n] = cowsliproute.NewService(cowsliproute.ServiceOptions{
			Config: s.config, Snapshots: s.snapshots, HedgeAfter: s.hedgeDelay,
			Budget: s.budget, Limiter: s.limiter, Move: c.moveView(c.lastTick, n),
		})
	}
	clear(c.serviceDirty)
	clear(c.targetsDirty)
	c.view = cowsliproute.NewView(cowsliproute.ViewOptions{
		Revision: c.accepted.Revision, FailureDomain: c.o.FailureDomain, Freshness: c.freshness,
		Services: v, TargetsByAddr: maps.Clone(c.targetByAddr), CrashVerdicts: c.crashVerdicts, Config: c.config, Routes: c.routeTable(), Relays: c.relays, ConfigDigest: c.digest, Workspaces: c.workspaces, RoundRobin: c.o.RoundRobin,
	})
}
