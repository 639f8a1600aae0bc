// Package cowslipentry implements an entry instance: the HTTP servers for callers
// and operators, the exchange of state with other entry instances, the calls to
// the platform, and the loop that owns the control state.
package cowslipentry
