package cowslipworkspace

import "cowslipflow/cowslipconfig"

// Directory holds the workspaces of one configuration. A nil Directory has none. It is
// immutable.
type Directory struct {
	required bool
	byDigest map[cowslipconfig.KeyDigest]*Workspace
	byName   map[string]*Workspace
}

// NewDirectory returns a directory of the workspaces of a configuration.
func NewDirectory(c *cowslipconfig.Config) *Directory {
	l := c.Workspaces()
	d := &Directory{required: c.KeyRequired(), byDigest: make(map[cowslipconfig.KeyDigest]*Workspace, len(l)), byName: make(map[string]*Workspace, len(l))}
	for _, x := range l {
		w := &Workspace{config: x}
		d.byName[w.Name()] = w
		for _, k := range x.KeyDigests() {
			d.byDigest[k] = w
		}
	}
	return d
}

// Find returns the workspace that has a key. The time that it takes depends on neither the
// number of workspaces nor how much of the key is right, as digests are compared.
func (d *Directory) Find(key string) (*Workspace, bool) {
	if d == nil || !cowslipconfig.IsKey(key) {
		return nil, false
	}
	w, ok := d.byDigest[cowslipconfig.DigestKey(key)]
	return w, ok
}

// Named returns the workspace with a name.
func (d *Directory) Named(name string) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byName[name]
	return w, ok
}

// Len returns the number of workspaces.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}

// KeyRequired reports whether requests need a key, except those on public routes.
func (d *Directory) KeyRequired() bool { return d != nil && d.required }
