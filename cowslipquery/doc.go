// Package cowslipquery is one query over the shards of a service: it pins a
// snapshot, asks a replica of each shard, hedges and retries within a budget,
// merges whole answers of that snapshot only, and states the coverage.
//
// Query is a state machine: events go in, actions come out. It opens no socket,
// starts no goroutine and reads no clock.
package cowslipquery
