// Package cowslipplatform is the platform as cowslipflow sees it: a small
// key-value service with compare-and-swap, leases and watches, and a lagging
// list of instances.
//
// Store is a struct of functions, so that another platform needs one file that
// fills them; NewHTTP fills them for the protocol that docs/PLATFORM.md states.
package cowslipplatform
