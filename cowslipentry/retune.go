package cowslipentry

import (
	"fmt"
	"time"

	"cowslipflow/cowslipcontrol"
)

// tuned are the options with the bounds that were read last.
func (e *Entry) tuned() *Options {
	if o := e.tuning.Load(); o != nil {
		return o
	}
	return &e.o
}

// Retune takes the bounds and Facts of o up while the instance runs; requests under
// way are not touched. Everything else in o is ignored. What the store's keys say is
// read by the new Facts with their next change.
func (e *Entry) Retune(o Options) {
	n := e.o
	n.Facts, n.Grace, n.RemovalGrace, n.CopyAge = o.Facts, o.Grace, o.RemovalGrace, o.CopyAge
	n.RetrySlack, n.RetryWindow, n.ExposeShare, n.ExposeSlack = o.RetrySlack, o.RetryWindow, o.ExposeShare, o.ExposeSlack
	e.tuning.Store(&n)
	e.do(func(_ time.Time, c *cowslipcontrol.Control) {
		c.SetBounds(cowslipcontrol.Bounds{RemovalGrace: o.RemovalGrace, RetrySlack: o.RetrySlack, RetryWindow: o.RetryWindow, ExposeShare: o.ExposeShare, ExposeSlack: o.ExposeSlack})
	})
	e.event("boundsInForce", e.o.ID, fmt.Sprintf("grace %v, removal grace %v, copy age %v, retries %d in %v, exposure %v and %d", o.Grace, o.RemovalGrace, o.CopyAge, o.RetrySlack, o.RetryWindow, o.ExposeShare, o.ExposeSlack))
}
