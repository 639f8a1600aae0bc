// Package cowslippeer exchanges messages between entry instances over drpc. It has
// a server for the requests of other instances, a client that keeps one
// connection to one of them, and a relayer, which relays callers' requests to them.
package cowslippeer
