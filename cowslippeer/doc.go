// Package cowslippeer carries messages between entry instances over drpc: a
// server for what others ask, and a client that keeps one connection.
package cowslippeer
