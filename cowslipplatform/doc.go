// Package cowslipplatform defines what cowslipflow needs from its platform: a
// small key-value store with compare-and-swap, leases and watches, and a list of
// instances, which may lag behind the actual state.
//
// Store is a struct of functions, so that support for another platform is one file
// that sets them. NewHTTP sets them for the protocol in docs/PLATFORM.md.
package cowslipplatform
