package cowslipentry

import (
	"fmt"
	"time"

	"cowslipflow/cowslipcontrol"
)

// tuning is what may change while an instance runs.
type tuning struct {
	bounds Bounds
	facts  StoreCodec
}

// tuned is what holds now.
func (e *Entry) tuned() tuning {
	if t := e.tuning.Load(); t != nil {
		return *t
	}
	return tuning{bounds: e.o.Bounds, facts: e.o.Facts}
}

// Retune takes other bounds up while the instance runs; requests under way are not
// touched. What the store's keys say is read by the new Facts with their next change.
// It is safe for concurrent use.
func (e *Entry) Retune(b Bounds, f StoreCodec) {
	e.tuning.Store(&tuning{bounds: b, facts: f})
	e.do(func(_ time.Time, c *cowslipcontrol.Control) { c.SetBounds(b.controlBounds()) })
	e.event("boundsInForce", e.o.ID, fmt.Sprintf("drain %v, apply %v, grace %v, retries %v and %d in %v, exposure %v and %d", b.Drain, b.Apply, b.Grace, b.RetryShare, b.RetrySlack, b.RetryWindow, b.ExposeShare, b.ExposeSlack))
}
