package cowslipquery

import (
	"cmp"
	"slices"

	"cowslipflow/cowsliptarget"
)

// Range is the range of keys from Lo, inclusive, to Hi, exclusive.
type Range struct {
	Lo uint32 `json:"lo"`
	Hi uint32 `json:"hi"`
}

// Coverage describes which part of the key space an answer covers.
type Coverage struct {
	Fraction float64 `json:"fraction"`
	Missing  []Range `json:"missing"`
}

// Cover computes the coverage of a set of ranges. They may overlap and be in any
// order. Keys outside the key space are ignored.
func Cover(r []Range) Coverage {
	s := slices.Clone(r)
	slices.SortFunc(s, func(a, b Range) int { return cmp.Compare(a.Lo, b.Lo) })
	c := Coverage{Missing: []Range{}}
	var at, covered uint32
	for _, x := range s {
		hi := min(x.Hi, cowsliptarget.KeySpace)
		if hi <= at || x.Lo >= hi {
			continue
		}
		if x.Lo > at {
			c.Missing = append(c.Missing, Range{Lo: at, Hi: x.Lo})
			at = x.Lo
		}
		covered += hi - at
		at = hi
	}
	if at < cowsliptarget.KeySpace {
		c.Missing = append(c.Missing, Range{Lo: at, Hi: cowsliptarget.KeySpace})
	}
	c.Fraction = float64(covered) / cowsliptarget.KeySpace
	return c
}
