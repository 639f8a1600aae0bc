package cowslipentry

import (
	"fmt"
	"time"

	"cowslipflow/cowslipcontrol"
)

// settings holds the options that may change while an instance runs.
type settings struct {
	bounds     Bounds
	storeCodec StoreCodec
}

// currentSettings returns the settings in force.
func (e *Entry) currentSettings() settings {
	if t := e.settings.Load(); t != nil {
		return *t
	}
	return settings{bounds: e.opts.Bounds, storeCodec: e.opts.StoreCodec}
}

// UpdateSettings replaces the bounds and the codec of the store's keys while the
// instance runs. It does not affect requests in flight. The new codec decodes the
// store's values when they next change. It is safe for concurrent use.
func (e *Entry) UpdateSettings(b Bounds, codec StoreCodec) {
	e.settings.Store(&settings{bounds: b, storeCodec: codec})
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.SetBounds(b.controlBounds()) })
	e.event("boundsInForce", e.opts.ID, fmt.Sprintf("drain %v, apply %v, grace %v, retries %v and %d in %v, exposure %v and %d", b.Drain, b.Apply, b.Grace, b.RetryShare, b.RetrySlack, b.RetryWindow, b.ExposeShare, b.ExposeSlack))
}
