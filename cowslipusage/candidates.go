package cowslipusage

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxCandidates is how many instances may take the duty.
const maxCandidates = 3

// Candidate is an instance that may take the duty.
type Candidate struct{ ID, FailureDomain string }

// Rank returns the position of an instance among the candidates, -1 if it is none. They are
// chosen by rendezvous hashing, in different failure domains if there are enough.
func Rank(id string, l []Candidate) int {
	weight := func(c Candidate) uint64 { return xxhash.Sum64String("usage " + c.ID) }
	l = slices.Clone(l)
	slices.SortFunc(l, func(a, b Candidate) int {
		if x, y := weight(a), weight(b); x != y {
			if x > y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.ID, b.ID)
	})
	var chosen, others []Candidate
	domains := map[string]bool{}
	for _, c := range l {
		if domains[c.FailureDomain] {
			others = append(others, c)
			continue
		}
		domains[c.FailureDomain] = true
		chosen = append(chosen, c)
	}
	chosen = append(chosen, others...)
	return slices.IndexFunc(chosen[:min(maxCandidates, len(chosen))], func(c Candidate) bool { return c.ID == id })
}
