// Package cowslipcontrol is the control state of one entry instance: tables of
// targets, peers, services, moves and crashing requests, and the systems that
// run over them each tick in a fixed order.
//
// One goroutine owns a Control. Everything that happens outside reaches it as a
// method call with the time at which it happened; Tick runs the systems and
// publishes a cowsliproute.View for the goroutines that carry traffic. The
// package opens no socket, starts no goroutine and reads no clock, so a trace
// can be replayed through it.
package cowslipcontrol
