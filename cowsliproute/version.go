package cowsliproute

// VersionSet is a set of target versions. The zero value contains all versions.
type VersionSet struct {
	only, except string
	target       string // ID of the only target of these versions that may be asked, any if empty
}

// OnlyVersion returns a set of a single version, or of all versions if v is empty.
func OnlyVersion(v string) VersionSet { return VersionSet{only: v} }

// ExceptVersion returns the set of all versions except v, or of all versions if v is
// empty.
func ExceptVersion(v string) VersionSet { return VersionSet{except: v} }

// onTarget returns the set restricted to the target with an ID. An empty ID restricts nothing.
func (s VersionSet) onTarget(id string) VersionSet {
	s.target = id
	return s
}

// AllowsTarget reports whether a target may be asked.
func (s VersionSet) AllowsTarget(i TargetInfo) bool {
	return s.Allows(i.Version) && (s.target == "" || s.target == i.ID)
}

// Allows reports whether the set contains v.
func (s VersionSet) Allows(v string) bool {
	return (s.only == "" || v == s.only) && (s.except == "" || v != s.except)
}

// String returns the set in words.
func (s VersionSet) String() string {
	switch {
	case s.target != "":
		return s.only + " on target " + s.target
	case s.only != "":
		return s.only
	case s.except != "":
		return "any but " + s.except
	}
	return "any"
}
