package cowslipentry

import (
	"fmt"
	"time"

	"cowslipflow/cowslipcontrol"
)

// settings is what may change while an instance runs.
type settings struct {
	bounds     Bounds
	storeCodec Facts
}

// currentSettings is what holds now.
func (e *Entry) currentSettings() settings {
	if t := e.settings.Load(); t != nil {
		return *t
	}
	return settings{bounds: e.opts.Bounds, storeCodec: e.opts.StoreCodec}
}

// UpdateSettings takes other bounds up while the instance runs; requests under way are not
// touched. What the store's keys say is read by the new Facts with their next change.
// It is safe for concurrent use.
func (e *Entry) UpdateSettings(b Bounds, f Facts) {
	e.settings.Store(&settings{bounds: b, storeCodec: f})
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.SetBounds(b.control()) })
	e.event("boundsInForce", e.opts.ID, fmt.Sprintf("drain %v, apply %v, grace %v, retries %v and %d in %v, exposure %v and %d", b.Drain, b.Apply, b.Grace, b.RetryShare, b.RetrySlack, b.RetryWindow, b.ExposeShare, b.ExposeSlack))
}
