// Package cowslipconn bounds what the connections of clients hold together: memory and
// descriptors. Clients that nobody controls may send heads without end, send nothing, or not
// read their answers; none of this may end a process or keep it from serving others.
//
// An Account decides which connections to close. It opens no socket and reads no clock. A
// Listener wraps a net.Listener and applies the decisions to its connections.
package cowslipconn
