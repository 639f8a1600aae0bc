package cowslipconfig

import (
	"fmt"
	"strings"
)

// Problem is one fault of a text. Line counts from 1; 0 means the whole text.
type Problem struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"wrong"`
	Hint    string `json:"right"`
}

// String gives the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Message, p.Hint)
}

// Problems is the error that Parse and CheckEdit return: all faults found, in
// the order of the text.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	l := make([]string, len(p))
	for i, x := range p {
		l[i] = x.String()
	}
	return "cowslipconfig: " + strings.Join(l, "\n")
}
