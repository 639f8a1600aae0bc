package cowslipworkspace_test

import (
	"fmt"
	"strings"
	"testing"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipworkspace"

	"github.com/stretchr/testify/require"
)

func directory(t testing.TB, text string) *cowslipworkspace.Directory {
	c, err := cowslipconfig.Parse([]byte("failureDomains = [{name = \"cerro\"}]\n" + text))
	require.NoError(t, err)
	return cowslipworkspace.NewDirectory(c)
}

// Guards against callers who are taken for another workspace, or for one at all, by a key
// that is not in force.
func TestFind(t *testing.T) {
	long := strings.Repeat("k", cowslipconfig.MaxKeyBytes)
	d := directory(t, fmt.Sprintf(`workspaces = [{name = "ralo620", keys = ["abc", %q], priority = 0}, {name = "acme", keyDigests = [%q], weight = 3.0}]`, long, cowslipconfig.DigestKey("def")))
	for _, c := range []struct{ name, key, want string }{
		{"key", "abc", "ralo620"},
		{"longest key", long, "ralo620"},
		{"key given by its digest", "def", "acme"},
		{"none", "", ""},
		{"start of a key", "ab", ""},
		{"other case", "ABC", ""},
		{"space around a key", " abc", ""},
		{"digest in place of the key", cowslipconfig.DigestKey("def").String(), ""},
		{"name in place of the key", "acme", ""},
		{"too long", long + "k", ""},
		{"64 kB", strings.Repeat("k", 64<<10), ""},
		{"arbitrary bytes", "\xff\x00abc", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			w, ok := d.Find(c.key)
			require.Equal(t, c.want != "", ok)
			if ok {
				require.Equal(t, c.want, w.Name())
			}
		})
	}
	w, ok := d.Named("acme")
	require.True(t, ok)
	require.Equal(t, 3.0, w.Weight())
	_, ok = d.Named("other")
	require.False(t, ok)
	require.Equal(t, 2, d.Len())
}

// Guards against a directory without workspaces that opens the routes although keys are
// required, or that closes them although there are none.
func TestDirectoryWithoutWorkspaces(t *testing.T) {
	require.False(t, (*cowslipworkspace.Directory)(nil).KeyRequired())
	require.False(t, directory(t, "").KeyRequired())
	require.True(t, directory(t, "requireKey = true").KeyRequired())
}

func BenchmarkFind(b *testing.B) {
	for _, n := range []int{1, 100, 10000} {
		var s strings.Builder
		for i := range n {
			fmt.Fprintf(&s, "[[workspaces]]\nname = \"w%d\"\nkeys = [\"key-of-workspace-%d\"]\n", i, i)
		}
		d := directory(b, s.String())
		key := fmt.Sprint("key-of-workspace-", n-1)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, ok := d.Find(key); !ok {
					b.Fatal("not found")
				}
			}
		})
	}
}
