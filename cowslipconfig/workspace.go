package cowslipconfig

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
)

// Limits and defaults of a workspace.
const (
	// MaxKeyBytes is the length of the longest key.
	MaxKeyBytes = 256
	// MaxWorkspacePriority is the least urgent priority of a workspace.
	MaxWorkspacePriority   = 1000
	maxWorkspaceWeight     = 1e6
	defaultWorkspaceWeight = 1
)

// KeyDigest is the SHA-256 digest of a key.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// String formats the digest in hexadecimal.
func (d KeyDigest) String() string { return hex.EncodeToString(d[:]) }

// IsKey reports whether a workspace may have a string as a key: 1 to MaxKeyBytes visible
// ASCII characters.
func IsKey(s string) bool {
	if len(s) == 0 || len(s) > MaxKeyBytes {
		return false
	}
	for i := range len(s) {
		if s[i] <= ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// Workspace is a customer's account, whose callers identify themselves by a key.
type Workspace struct {
	name     string
	digests  []KeyDigest
	priority *int
	weight   float64
}

// Name is the workspace's name.
func (w Workspace) Name() string { return w.name }

// KeyDigests lists the digests of the keys in force. A workspace without keys is not
// served.
func (w Workspace) KeyDigests() []KeyDigest { return w.digests }

// Priority is the rank of the workspace's requests under overload, 0 for the most urgent.
// It reports false if the priority of the route applies.
func (w Workspace) Priority() (int, bool) {
	if w.priority == nil {
		return 0, false
	}
	return *w.priority, true
}

// Weight is the workspace's share under overload, relative to the others of its priority.
func (w Workspace) Weight() float64 { return w.weight }

// buildWorkspaces checks the workspaces. No problem contains a key, since problems are
// logged.
func (k *checker) buildWorkspaces(c *Config, l []WorkspaceSpec) {
	names := map[string]bool{}
	owners := make(map[KeyDigest]int, len(l)) // index of the first workspace with the key
	for i, r := range l {
		p := fmt.Sprintf("workspaces[%d]", i)
		k.checkName(p, r.Name, names)
		w := Workspace{name: r.Name, priority: r.Priority, weight: defaultWorkspaceWeight}
		if r.Priority != nil {
			k.checkRange(p+".priority", *r.Priority, 0, MaxWorkspacePriority)
		}
		if r.Weight != nil {
			w.weight = *r.Weight
		}
		if !(w.weight > 0 && w.weight <= maxWorkspaceWeight) {
			k.add(p+".weight", fmt.Sprintf("%v is out of range", w.weight), fmt.Sprintf("write a number above 0, %v at most", maxWorkspaceWeight))
		}
		add := func(path string, n int, d KeyDigest) {
			if o, ok := owners[d]; ok && o != i {
				k.add(path, fmt.Sprintf("entry %d is also a key of workspace %q", n+1, l[o].Name), "give each workspace keys of its own")
				return
			}
			owners[d] = i
			w.digests = append(w.digests, d)
		}
		for n, s := range r.Keys {
			if !IsKey(s) {
				k.add(p+".keys", fmt.Sprintf("entry %d is not a key; it has %d bytes", n+1, len(s)), fmt.Sprintf("write 1 to %d visible ASCII characters", MaxKeyBytes))
				continue
			}
			add(p+".keys", n, DigestKey(s))
		}
		for n, s := range r.KeyDigests {
			var d KeyDigest
			if b, err := hex.DecodeString(s); err != nil || copy(d[:], b) != len(d) || len(b) != len(d) {
				k.add(p+".keyDigests", fmt.Sprintf("entry %d is not a digest", n+1), "write the 64 hexadecimal digits of the key's SHA-256 digest")
				continue
			}
			add(p+".keyDigests", n, d)
		}
		c.workspaces = append(c.workspaces, w)
	}
}
