package cowsliproute

// VersionSet narrows a choice of targets by their version. The zero value allows
// any.
type VersionSet struct {
	only, except string
}

// OnlyVersion allows a single version, any if it is empty.
func OnlyVersion(v string) VersionSet { return VersionSet{only: v} }

// ExceptVersion allows all versions but one.
func ExceptVersion(v string) VersionSet { return VersionSet{except: v} }

// Allows tells whether targets of a version may be chosen.
func (s VersionSet) Allows(v string) bool {
	return (s.only == "" || v == s.only) && (s.except == "" || v != s.except)
}
