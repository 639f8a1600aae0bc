// Package cowsliprecord executes non-idempotent requests at most once.
//
// A request with an idempotency key first claims the key in the platform's
// key-value store, so that a repeat through any entry instance finds the claim.
// Only a released claim can be taken over: if an instance dies between its claim
// and the response, the claim stays, and repeats of its key are answered
// "unknown".
package cowsliprecord
