// Package cowslipmessage defines the protocol between entry instances: the messages
// of message.proto, and the drpc client and server generated for them.
//
// The generated files are committed; docs/DEVELOPING.md has the command that
// generates them.
package cowslipmessage
