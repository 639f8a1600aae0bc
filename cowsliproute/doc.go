// Package cowsliproute holds the immutable view that each tick of the control
// state publishes, and the choices that a request makes from it: which snapshot
// to pin, which replica to ask, whether to admit, retry or hedge.
//
// It opens no socket, starts no goroutine and reads no clock. A request takes
// one View and keeps it; only the counters of Target, Budget and Limiter change
// under it, and those are safe for concurrent use.
package cowsliproute
