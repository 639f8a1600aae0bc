package cowsliproute

// VersionSet is a set of target versions. The zero value contains all versions.
type VersionSet struct {
	only, except string
}

// OnlyVersion returns a set of a single version, or of all versions if v is empty.
func OnlyVersion(v string) VersionSet { return VersionSet{only: v} }

// ExceptVersion returns the set of all versions except v, or of all versions if v is
// empty.
func ExceptVersion(v string) VersionSet { return VersionSet{except: v} }

// Allows reports whether the set contains v.
func (s VersionSet) Allows(v string) bool {
	return (s.only == "" || v == s.only) && (s.except == "" || v != s.except)
}

// String returns the set in words.
func (s VersionSet) String() string {
	switch {
	case s.only != "":
		return s.only
	case s.except != "":
		return "any but " + s.except
	}
	return "any"
}
