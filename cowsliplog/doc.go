// Package cowsliplog writes log lines to a destination that may block, such as a
// pipe whose reader has stalled, without ever blocking the goroutines that log.
// Lines wait in a bounded buffer, and each message has a rate limit. Lines over
// either limit are dropped, and the log states their number. The package also
// extracts the lines about one request from logs.
package cowsliplog
