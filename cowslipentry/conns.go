package cowslipentry

// sweepLoop periodically closes connections to targets that have been idle for too
// long.
func (e *Entry) sweepLoop() {
	for e.sleep(e.ctx, connSweepInterval) {
		e.forwarder.Sweep(e.clock.Now())
	}
}

// onDisconnect suspends a target after a connection to it has ended: it receives no
// requests until it sends a new report, since it may have restarted and be cold.
func (e *Entry) onDisconnect(addr string) {
	v := e.view.Load()
	if v == nil {
		return
	}
	if t := v.Target(addr); t != nil {
		t.Suspend()
	}
}
