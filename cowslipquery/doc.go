// Package cowslipquery runs one query over the shards of a service. It pins a
// snapshot, sends a sub-request to one replica of each shard, hedges and retries
// within a budget, merges only complete answers from that snapshot, and reports
// the coverage.
//
// Query and Dispatch are state machines: the caller passes in events and carries
// out the actions that they return. The package opens no sockets, starts no
// goroutines and reads no clock.
package cowslipquery
