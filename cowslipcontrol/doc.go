// Package cowslipcontrol holds the control state of one entry instance: tables
// of targets, peers, services, moves and crashing requests, and the steps that
// update them in a fixed order on each tick.
//
// One goroutine owns a Control. External events reach it as method calls that
// carry the time of the event; Tick runs the steps and publishes a
// cowsliproute.View for the goroutines that carry traffic. The package opens no
// sockets, starts no goroutines and reads no clock, so a trace can be replayed
// through it.
package cowslipcontrol
