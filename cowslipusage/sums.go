package cowslipusage

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxSumsBytes limits the size of decoded sums.
const maxSumsBytes = 16 << 20

// Sums are the counts of open windows as the holder writes them to the store for its
// successor. They stay apart by process, so that those which processes send again to the
// successor are not counted twice.
type Sums struct {
	ID        string         `json:"id"` // of the holder
	Token     uint64         `json:"token"`
	At        time.Time      `json:"at"`   // corrected time at which they were written
	Next      int64          `json:"next"` // the first window whose report is not known to have arrived
	Names     []string       `json:"workspaces"`
	Processes []ProcessUsage `json:"instances"`
}

// ProcessUsage are the counts of one process.
type ProcessUsage struct {
	ID          string             `json:"id"`
	Incarnation string             `json:"incarnation"`
	Windows     map[int64][]uint64 `json:"windows"` // pairs of an index into the names and a count
}

// Changed reports whether counts were added since the last call of Sums.
func (c *Collector) Changed() bool { return c.changed }

// Sums returns the counts of the open windows.
func (c *Collector) Sums() Sums {
	c.changed = false
	var s Sums
	index := map[string]uint64{}
	for p, m := range c.counts {
		u := ProcessUsage{ID: p.id, Incarnation: p.incarnation, Windows: map[int64][]uint64{}}
		for k, l := range m {
			for w, n := range l {
				if _, ok := index[w]; !ok {
					index[w] = uint64(len(s.Names))
					s.Names = append(s.Names, w)
				}
				u.Windows[k] = append(u.Windows[k], index[w], n)
			}
		}
		s.Processes = append(s.Processes, u)
	}
	slices.SortFunc(s.Processes, func(a, b ProcessUsage) int { return strings.Compare(a.ID+a.Incarnation, b.ID+b.Incarnation) })
	return s
}

// Load merges the sums that a previous holder has written.
func (c *Collector) Load(s Sums) {
	for _, p := range s.Processes {
		for k, l := range p.Windows {
			m := Counts{}
			for i := 0; i+1 < len(l); i += 2 {
				if l[i] < uint64(len(s.Names)) {
					m[s.Names[l[i]]] = l[i+1]
				}
			}
			c.merge(process{p.ID, p.Incarnation}, k, m)
		}
	}
}

// Encode returns the sums as compressed JSON.
func (s Sums) Encode() ([]byte, error) {
	var b bytes.Buffer
	// The fastest level: the holder may have a fraction of a core. The level is valid, so
	// that there is no error.
	z, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
	if err := json.NewEncoder(z).Encode(s); err != nil {
		return nil, errors.Annotate(err, "cowslipusage: encode sums")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Annotate(err, "cowslipusage: encode sums")
	}
	return b.Bytes(), nil
}

// DecodeSums decodes what Encode returned.
func DecodeSums(b []byte) (Sums, error) {
	var s Sums
	z, err := gzip.NewReader(bytes.NewReader(b))
	if err != nil {
		return s, errors.Annotate(err, "cowslipusage: decode sums")
	}
	err = json.NewDecoder(io.LimitReader(z, maxSumsBytes)).Decode(&s)
	return s, errors.Annotate(err, "cowslipusage: decode sums")
}
