// Package cowslipexposure decides how many requests of each route the new version of a move gets
// before the move ends. The bound is on the sum of a service's requests. Within it, routes with
// few requests give most of theirs, and the time before the decision has the load that the new
// targets bear after it: the requests go to one target at a time.
package cowslipexposure
