package cowslipconfig

import (
	"fmt"
	"strings"
)

// Problem is one error in a configuration. Line counts from 1; 0 means that the
// problem concerns the configuration as a whole. Message says what is wrong, and
// Hint how to correct it.
type Problem struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"wrong"`
	Hint    string `json:"right"`
}

// String formats the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s; %s", p.Line, p.Field, p.Message, p.Hint)
}

// Problems is the error that Parse and CheckEdit return: all problems found, in
// the order of their lines.
type Problems []Problem

// Error lists the problems, one per line.
func (p Problems) Error() string {
	l := make([]string, len(p))
	for i, x := range p {
		l[i] = x.String()
	}
	return "cowslipconfig: " + strings.Join(l, "\n")
}
