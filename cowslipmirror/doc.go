// Package cowslipmirror mirrors keys of the platform's store, so that a few
// instances read the store and the others read from those instances. A mirror can
// be updated from the store or from another mirror. The store's revision orders
// all changes totally, era before number, so either source can take over from the
// other at any point, and content of an earlier era never replaces that of a later one.
package cowslipmirror
