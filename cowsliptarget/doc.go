// Package cowsliptarget is the client side of a target: the messages that
// cross the connection, and a client that tells exactly how a request ended.
//
// The client is net/http rather than hertz's: it closes the connection of a
// cancelled request and reveals whether any byte of a request left, on which
// the outcomes below rest.
package cowsliptarget
