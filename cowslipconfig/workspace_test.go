package cowslipconfig_test

import (
	"strings"
	"testing"

	"cowslipflow/cowslipconfig"

	"github.com/stretchr/testify/require"
)

const workspacesConfig = `
[[failureDomains]]
name = "cerro"
[[workspaces]]
name = "ralo620"
keys = ["first-secret", "second-secret"]
priority = 0
[[workspaces]]
name = "acme"
keyDigests = ["2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A25B"]
weight = 2.5
`

func TestWorkspaces(t *testing.T) {
	c, err := cowslipconfig.Parse([]byte(workspacesConfig))
	require.NoError(t, err)
	require.True(t, c.KeyRequired())
	w := c.Workspaces()
	require.Equal(t, []cowslipconfig.KeyDigest{cowslipconfig.DigestKey("first-secret"), cowslipconfig.DigestKey("second-secret")}, w[0].KeyDigests())
	p, ok := w[0].Priority()
	require.True(t, ok, "0 is a priority")
	require.Zero(t, p)
	require.Equal(t, 1.0, w[0].Weight())
	require.Equal(t, cowslipconfig.DigestKey("secret"), w[1].KeyDigests()[0])
	_, ok = w[1].Priority()
	require.False(t, ok)
	require.Equal(t, 2.5, w[1].Weight())
	for text, want := range map[string]bool{"": false, "requireKey = true": true} {
		c, err = cowslipconfig.Parse([]byte(text + "\n[[failureDomains]]\nname = \"cerro\"\n"))
		require.NoError(t, err)
		require.Equal(t, want, c.KeyRequired())
	}
}

// Guards against an invalid workspace that comes into force, an error without its line, and
// a key in an error, since errors are logged.
func TestProblemsOfWorkspaces(t *testing.T) {
	const digest = "2BB80D537B1DA3E38BD30361AA855686BDE0EACD7162FEF6A25FE97BF527A25B"
	for _, c := range []struct {
		name, old, with string
		line            int
		want            string
	}{
		{"key of two workspaces", digest, cowslipconfig.DigestKey("second-secret").String(), 10, `workspaces[1].keyDigests: entry 1 is also a key of workspace "ralo620"`},
		{"empty key", `"first-secret"`, `""`, 6, "workspaces[0].keys: entry 1 is not a key"},
		{"key too long", "second-secret", strings.Repeat("x", 257), 6, "entry 2 is not a key; it has 257 bytes"},
		{"key with a space", "second-secret", "second secret", 6, "entry 2 is not a key"},
		{"key beyond ASCII", "second-secret", "second-sécret", 6, "entry 2 is not a key"},
		{"key of another type", `"second-secret"`, "7", 6, ""},
		{"key that does not end", `"second-secret"`, `"second-secret`, 6, ""},
		{"digest too short", digest, digest[2:], 10, "workspaces[1].keyDigests: entry 1 is not a digest"},
		{"digest too long", digest, digest + "00", 10, "entry 1 is not a digest"},
		{"digest of other letters", digest, "first-secret", 10, "entry 1 is not a digest"},
		{"duplicate name", `"acme"`, `"ralo620"`, 9, "duplicate name"},
		{"invalid name", `"acme"`, `"ac\nme"`, 9, "invalid name"},
		{"no name", `name = "acme"`, "", 8, "workspaces[1].name: missing"},
		{"negative priority", "priority = 0", "priority = -1", 7, "workspaces[0].priority: -1 is out of range"},
		{"weight of 0", "weight = 2.5", "weight = 0", 11, "workspaces[1].weight: 0 is out of range"},
		{"infinite weight", "weight = 2.5", "weight = inf", 11, "out of range"},
		{"unknown field", "weight = 2.5", "apiKeys = []", 11, "workspaces.apiKeys: unknown name"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := strings.Replace(workspacesConfig, c.old, c.with, 1)
			require.NotEqual(t, workspacesConfig, s)
			x, err := cowslipconfig.Parse([]byte(s))
			require.Nil(t, x)
			require.ErrorContains(t, err, c.want)
			require.NotContains(t, err.Error(), "secret")
			var p cowslipconfig.Problems
			require.ErrorAs(t, err, &p)
			require.Equal(t, c.line, p[0].Line, "%v", p)
			require.NotEmpty(t, p[0].Hint)
		})
	}
}

// Guards against a problem without a line where workspaces are written as inline tables.
func TestLineOfAnInlineWorkspace(t *testing.T) {
	_, err := cowslipconfig.Parse([]byte("failureDomains = [{name = \"cerro\"}]\nworkspaces = [{name = \"acme\", keys = [\"\"]}]\n"))
	require.ErrorContains(t, err, "line 2: workspaces[0].keys: entry 1 is not a key")
}
