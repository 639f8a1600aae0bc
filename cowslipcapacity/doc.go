// Package cowslipcapacity learns what each target takes: how fast it is relative to the other
// targets of its service, and how many requests it runs at the same time before it slows down.
//
// An Estimator learns from the answers of one run of a target. A Table holds the estimators of
// all targets and pools them with what other instances have learned. Nothing in the package
// opens a socket, starts a goroutine or reads a clock.
package cowslipcapacity
