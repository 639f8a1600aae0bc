package cowslipquery

import (
	"bytes"
	"slices"
)

// RecordSize is the size in bytes of one record in the body of a part's answer.
const RecordSize = 16

// MergeTop returns the greatest records of all parts, at most top of them, in descending
// byte order.
// Equal records are all kept. Trailing bytes of a part that are shorter than a
// record are ignored. It holds at most top records at a time, since the parts of a
// wide answer contain thousands.
func MergeTop(parts [][]byte, top int) []byte {
	var l [][]byte
	for _, p := range parts {
		for ; len(p) >= RecordSize && top > 0; p = p[RecordSize:] {
			r := p[:RecordSize]
			if len(l) == top {
				if bytes.Compare(r, l[top-1]) <= 0 {
					continue
				}
				l = l[:top-1]
			}
			i, _ := slices.BinarySearchFunc(l, r, func(a, b []byte) int { return bytes.Compare(b, a) })
			l = slices.Insert(l, i, r)
		}
	}
	return bytes.Join(l, nil)
}
