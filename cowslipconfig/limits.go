package cowslipconfig

import (
	"math"
	"time"
	"unicode"
)

// limits are the greatest values that a configuration may have.
type limits struct {
	deadline, warmTime             time.Duration
	connections, attempts, records int
	coldRate, weight               float64
	name                           func(string) bool // whether a string may be a name
	nameHint                       string
}

var (
	// editLimits hold for a configuration that operators write for this program.
	editLimits = limits{
		deadline: 10 * time.Minute, warmTime: time.Hour, connections: 100000, attempts: 100, records: 1 << 20, coldRate: 1e6, weight: 1 << 30,
		name: IsName, nameHint: "start with a letter or digit, followed by letters, digits, dots, hyphens and underscores; 200 characters at most",
	}
	// importLimits hold for an imported configuration. A greater value means the same.
	importLimits = limits{
		deadline: 365 * 24 * time.Hour, warmTime: 365 * 24 * time.Hour, connections: math.MaxInt32, attempts: math.MaxInt32, records: math.MaxInt32, coldRate: math.MaxInt32, weight: math.MaxInt32,
		name: IsImportedName, nameHint: "leave out control characters",
	}
)

// IsName reports whether a configuration may use a string as a name.
func IsName(s string) bool { return namePattern.MatchString(s) }

// IsImportedName reports whether an imported configuration may use a string as a name: any that
// is not empty and has no control characters.
func IsImportedName(s string) bool {
	for _, c := range s {
		if unicode.IsControl(c) || c == unicode.ReplacementChar {
			return false
		}
	}
	return s != ""
}
