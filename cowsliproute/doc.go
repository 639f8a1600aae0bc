// Package cowsliproute holds the View, the immutable routing snapshot that each tick
// of the control state publishes, and the decisions that requests base on it: which
// index version to pin, which replica to ask, and whether to admit, retry or hedge.
//
// The package opens no sockets, starts no goroutines and reads no clock, except that
// it records a base time for its monotonic clock at start-up. A request uses the same
// View from start to end. Only the counters of Target, Relay, Budget, Limiter and
// Freshness change meanwhile, and those are safe for concurrent use.
package cowsliproute
