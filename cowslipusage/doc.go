// Package cowslipusage counts the requests of each workspace that targets began to run,
// and decides which instance reports the counts of a window to the platform, and when. It
// opens no socket, starts no goroutine and reads no clock.
package cowslipusage
