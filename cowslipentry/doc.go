// Package cowslipentry is one entry instance: the HTTP servers for callers and
// operators, the exchange with other entry instances, the calls to the
// platform, and the loop that owns the control state.
package cowslipentry
