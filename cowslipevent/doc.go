// Package cowslipevent records the timeline: the observations and decisions of
// each process. Events are stamped by a hybrid logical clock, so that the events of
// several processes can be merged in causal order.
package cowslipevent
