// Package cowsliprecord runs non-idempotent requests at most once.
//
// A request with a key of the caller's own first claims the key in the
// platform's key-value service, so that a repeat through any entry instance
// finds the claim. A claim is never taken over: one whose holder died between
// claim and answer stays, and repeats of its key are answered "unknown".
package cowsliprecord
