package cowslipmirror_test

import "flag"

// A fixed seed makes the property tests repeatable.
func init() { flag.Set("rapid.seed", "1") }
