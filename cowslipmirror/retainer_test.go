package cowslipmirror_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cowslipflow/cowslipmirror"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
)

// retentionByPrefix gives keys that begin with "v" an order of versions, which are their data, those
// that begin with "n" contents that tell which one is newer, and no retention to those that begin
// with "x".
func retentionByPrefix(key string) (cowslipmirror.Retention, bool) {
	r := cowslipmirror.Retention{Lost: 10 * time.Second, Older: 2 * time.Second, Returned: 5 * time.Second}
	if strings.HasPrefix(key, "n") {
		r.Newer = func(known, stored []byte) bool { return string(stored) > string(known) }
	}
	if strings.HasPrefix(key, "v") {
		r.Version = func(b []byte) (uint64, bool) { return uint64(b[0]), len(b) == 1 }
	}
	return r, !strings.HasPrefix(key, "x")
}

// Guards against a value that gives way for a moment to an older one, or to none, while its writer
// has yet to write it again after the store has come back from an older copy.
func TestRetainerAwaitsItsWriters(t *testing.T) {
	const first = 50 // revision of the first content of the new era
	for _, c := range []struct {
		name     string
		key      string
		before   string // data in the era before, none if empty
		stored   string // in the present era
		revision uint64
		after    time.Duration // since the era began
		want     string
	}{
		{"lost, not written yet", "k", "a", "", 0, 9 * time.Second, "a"},
		{"lost, and not written in time", "k", "a", "", 0, 10 * time.Second, ""},
		{"unchanged", "k", "a", "a", 40, 0, "a"},
		{"the copy has an older one", "k", "b", "a", 40, time.Second, "b"},
		{"the copy has another one for long", "k", "b", "a", 40, 2 * time.Second, "a"},
		{"the copy has an older one, as its content tells", "n", "b", "a", 40, 0, "b"},
		{"the copy has a newer one than an instance that was cut off", "n", "a", "b", 40, 0, "b"},
		{"written since", "k", "b", "a", 51, 0, "a"},
		{"removed before, in the copy", "k", "", "a", 40, 4 * time.Second, ""},
		{"removed before, in the copy for long", "k", "", "a", 40, 5 * time.Second, "a"},
		{"new", "k", "", "a", 51, 0, "a"},
		{"lower version in the copy", "v", "3", "2", 40, time.Hour, "3"},
		{"lower version written since", "v", "3", "2", 51, time.Hour, "3"},
		{"higher version in the copy, known late", "v", "2", "3", 40, 0, "3"},
		{"no version", "v", "3", "none", 51, time.Hour, "3"},
		{"no retention", "x", "a", "", 0, 0, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			began := time.Unix(1000, 0)
			r := cowslipmirror.Retainer{Of: retentionByPrefix}
			values := func(data string, revision cowslipplatform.Revision) []cowslipplatform.Value {
				if data == "" {
					return nil
				}
				return []cowslipplatform.Value{{Key: c.key, Data: []byte(data), Revision: revision}}
			}
			r.Values(began, values(c.before, at(300)))
			r.Begin(began, cowslipplatform.NewRevision(1, first))
			got := ""
			for _, v := range r.Values(began.Add(c.after), values(c.stored, cowslipplatform.NewRevision(1, c.revision))) {
				got += string(v.Data)
			}
			require.Equal(t, c.want, got)
		})
	}
}

// A key that its writer has written again, or that the copy has as it was, may be removed at once.
// What is retained stays so through a second drill.
func TestRetainerGivesWay(t *testing.T) {
	now := time.Unix(1000, 0)
	r := cowslipmirror.Retainer{Of: retentionByPrefix}
	value := func(key string, era, n uint64) cowslipplatform.Value {
		return cowslipplatform.Value{Key: key, Data: []byte("a"), Revision: cowslipplatform.NewRevision(era, n)}
	}
	keys := func(l ...cowslipplatform.Value) string {
		s := ""
		for _, v := range r.Values(now, l) {
			s += fmt.Sprint(v.Key, " ")
		}
		return s
	}
	require.Equal(t, "k l ", keys(value("k", 0, 3), value("l", 0, 9)))
	r.Begin(now, cowslipplatform.NewRevision(1, 5))
	require.Equal(t, "k l ", keys(value("k", 1, 3)), "l is lost")
	require.Equal(t, "l ", keys(), "k was in the copy and is removed")
	r.Begin(now, cowslipplatform.NewRevision(2, 4))
	require.Equal(t, "l ", keys(), "lost in both drills")
	require.Equal(t, "l ", keys(value("l", 2, 7)), "written again")
	require.Empty(t, keys(), "and removed")
	require.False(t, r.Due(now))
}
