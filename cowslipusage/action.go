package cowslipusage

import (
	"time"

	"cowslipflow/cowslipplatform"
)

// Keys of the store.
const (
	// HolderKey holds the Holder. It is created on a lease, and removed when that ends.
	HolderKey = "cowslipflow/usage/holder"
	// SumsKey holds the Sums that the holder leaves for its successor.
	SumsKey = "cowslipflow/usage/sums"
	// ReportsPrefix is the prefix of the keys of reports; the number of the window follows.
	ReportsPrefix = "cowslipflow/usage/reports/"
)

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of Action. All but Send are calls to the store.
const (
	None ActionKind = iota
	Grant
	Put
	Get
	KeepAlive
	Revoke
	Send // of Data, the report of Window, to the platform
)

// Action is a call that the caller of Next makes, and whose Result it passes to Done.
type Action struct {
	Kind   ActionKind
	Key    string
	Data   []byte
	Expect cowslipplatform.Revision
	Lease  cowslipplatform.Lease
	TTL    time.Duration
	Window int64
	Token  uint64
}

// Result is the result of an Action. Value is set for Get, Lease for Grant and Revision
// for Put.
type Result struct {
	Err      error
	Value    cowslipplatform.Value
	Lease    cowslipplatform.Lease
	Revision cowslipplatform.Revision
}
