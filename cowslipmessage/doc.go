// Package cowslipmessage is the protocol between entry instances: the messages
// generated from message.proto, and their drpc client and server.
//
// The generated files are committed; docs/DEVELOPING.md has the command that
// makes them.
package cowslipmessage
