package cowsliptarget

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// KeySpace is the size of the key space that the shards of an index version
// partition. Keys run from 0 to KeySpace-1.
const KeySpace = 1 << 16

// Holding is a key range of one index version that a target holds. Lo is
// inclusive, Hi is exclusive.
type Holding struct {
	IndexVersion uint64 `json:"indexVersion"`
	Lo           uint32 `json:"lo"`
	Hi           uint32 `json:"hi"`
}

// Report is a target's own report of its state. It may be stale or wrong.
// Incarnation identifies the run of the target and changes with each restart.
type Report struct {
	Incarnation string    `json:"incarnation"`
	Version     string    `json:"version"`
	Leaving     bool      `json:"leaving"`
	Cold        bool      `json:"cold"`
	Running     int       `json:"running"`
	Queued      int       `json:"queued"`
	Slots       int       `json:"slots"`
	Holdings    []Holding `json:"holdings,omitempty"`

	// Slowdown is how long work takes on the target's machine at the moment of the report,
	// relative to the usual time; 0 if the target does not state it.
	Slowdown float64 `json:"slowdown,omitempty"`

	// RequestLimit is how many requests per second the target takes from all entry
	// instances together, 0 for no limit. It applies as long as responses state it.
	RequestLimit float64 `json:"requestLimit,omitempty"`
}

// Search asks for one shard of an index version. It is idempotent.
type Search struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	Route          string `json:"route"`
	IndexVersion   uint64 `json:"indexVersion"`
	Lo             uint32 `json:"lo"`
	Hi             uint32 `json:"hi"`
	Query          string `json:"query"`
	Incarnation    string `json:"incarnation,omitempty"` // the only incarnation of the target that may serve the request, any if empty
	DeadlineMillis int64  `json:"deadlineMillis"`
}

// Item is one result.
type Item struct {
	Key  uint32 `json:"key"`
	Text string `json:"text"`
}

// SearchReply is a target's complete reply to a Search. Checksum is the Checksum
// of ID and Items.
type SearchReply struct {
	ID           string `json:"id"`
	IndexVersion uint64 `json:"indexVersion"`
	Lo           uint32 `json:"lo"`
	Hi           uint32 `json:"hi"`
	Items        []Item `json:"items"`
	Checksum     uint64 `json:"checksum"`
	Report       Report `json:"report"`
}

// Record is a non-idempotent request.
type Record struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	Route          string `json:"route"`
	Body           string `json:"body"`
	Incarnation    string `json:"incarnation,omitempty"` // the only incarnation of the target that may serve the request, any if empty
	DeadlineMillis int64  `json:"deadlineMillis"`
}

// RecordReply is a target's reply to a Record that ran. Checksum is the Checksum
// of ID and a single item with key 0 and text Result.
type RecordReply struct {
	ID       string `json:"id"`
	Result   string `json:"result"`
	Checksum uint64 `json:"checksum"`
	Report   Report `json:"report"`
}

// Refusal is a target's reply to a request that it refused or that failed.
type Refusal struct {
	ID     string `json:"id"`
	Code   string `json:"code"`
	Report Report `json:"report"`
}

// Codes of a Refusal. Each means that the request did not run; a refusal with any
// other code may come from a request that ran.
const (
	CodeShed         = "shed"
	CodeLeaving      = "leaving"
	CodeWrongVersion = "wrongVersion"
	CodeExpired      = "expired"
	CodeRestarted    = "restarted"
)

// Checksum returns the xxhash of a reply's ID and items.
func Checksum(id string, items []Item) uint64 {
	h := xxhash.New()
	h.WriteString(id)
	var b [8]byte
	for _, i := range items {
		binary.LittleEndian.PutUint32(b[:4], i.Key)
		binary.LittleEndian.PutUint32(b[4:], uint32(len(i.Text)))
		h.Write(b[:])
		h.WriteString(i.Text)
	}
	return h.Sum64()
}
