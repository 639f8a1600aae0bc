// Package cowslipevent keeps the time line: what each process saw and decided,
// stamped by a hybrid logical clock so that the rings of several processes
// merge in causal order.
package cowslipevent
