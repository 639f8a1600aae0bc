// Package cowsliptarget is the client side of the connection to a target: the
// messages on it, and clients that report exactly how a request ended.
//
// Client uses net/http rather than hertz's client, because net/http closes the
// connection of a cancelled request and reveals whether any byte of a request was
// sent. The outcomes rely on both.
package cowsliptarget
