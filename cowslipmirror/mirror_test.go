package cowslipmirror_test

import (
	"context"
	"fmt"
	"runtime"
	"slices"
	"testing"
	"time"

	"cowslipflow/cowslipmirror"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func at(number uint64) cowslipplatform.Revision { return cowslipplatform.NewRevision(0, number) }

func put(key string, revision uint64) cowslipplatform.Change {
	return cowslipplatform.Change{Value: cowslipplatform.Value{Key: key, Data: []byte(fmt.Sprint(revision)), Revision: at(revision)}}
}

func remove(key string, revision uint64) cowslipplatform.Change {
	c := put(key, revision)
	c.Data, c.Removed = nil, true
	return c
}

func content(m *cowslipmirror.Mirror) string {
	s := ""
	for _, v := range m.Values() {
		s += fmt.Sprintf("%s=%s ", v.Key, v.Revision)
	}
	return s
}

func data(m *cowslipmirror.Mirror) string {
	s := ""
	for _, v := range m.Values() {
		s += fmt.Sprintf("%s=%s ", v.Key, v.Data)
	}
	return s
}

func TestApply(t *testing.T) {
	full := cowslipmirror.Update{Full: true, Revision: at(10), Changes: []cowslipplatform.Change{put("a", 3), put("b", 7)}}
	for _, c := range []struct {
		name    string
		updates []cowslipmirror.Update
		want    string
	}{
		{"nothing without the whole content", []cowslipmirror.Update{{From: at(0), Revision: at(4), Changes: []cowslipplatform.Change{put("a", 3)}}}, ""},
		{"whole", []cowslipmirror.Update{full}, "a=3 b=7 "},
		{"changes", []cowslipmirror.Update{full, {From: at(10), Revision: at(12), Changes: []cowslipplatform.Change{remove("a", 11), put("c", 12)}}}, "b=7 c=12 "},
		{"a gap changes nothing", []cowslipmirror.Update{full, {From: at(11), Revision: at(12), Changes: []cowslipplatform.Change{remove("a", 12)}}}, "a=3 b=7 "},
		{"changes that overlap", []cowslipmirror.Update{full, {From: at(2), Revision: at(12), Changes: []cowslipplatform.Change{put("a", 3), remove("a", 12)}}}, "b=7 "},
		{"an older whole changes nothing", []cowslipmirror.Update{full, {Full: true, Revision: at(9)}}, "a=3 b=7 "},
		{"a stale page keeps the newer value", []cowslipmirror.Update{full, {From: at(10), Revision: at(12), Changes: []cowslipplatform.Change{put("a", 12)}}, {Full: true, Revision: at(12), Changes: []cowslipplatform.Change{put("a", 12)}}}, "a=12 "},
		{"a value of a page ahead of the listing is not undone", []cowslipmirror.Update{{Full: true, Revision: at(10), Changes: []cowslipplatform.Change{put("a", 12)}}, {From: at(10), Revision: at(12), Changes: []cowslipplatform.Change{put("a", 11), put("a", 12)}}}, "a=12 "},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := &cowslipmirror.Mirror{}
			for _, u := range c.updates {
				m.Apply(u)
			}
			require.Equal(t, c.want, content(m))
		})
	}
}

// inEra returns a full update as the store gives it after it has come back from that copy.
func inEra(era uint64, u cowslipmirror.Update) cowslipmirror.Update {
	u.Revision = cowslipplatform.NewRevision(era, u.Revision.Number())
	u.Changes = slices.Clone(u.Changes)
	for i, c := range u.Changes {
		u.Changes[i].Revision = cowslipplatform.NewRevision(era, c.Revision.Number())
	}
	return u
}

// However updates from the store and from other mirrors are mixed, delayed and
// repeated, and whenever the store comes back from an older copy, the revision of a mirror
// never decreases, and its content converges to that of the store.
func TestAnyMixOfSourcesConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &cowslipmirror.Mirror{}
		store.Apply(cowslipmirror.Update{Full: true, Revision: at(1)})
		mirrors := []*cowslipmirror.Mirror{{}, {}, {}}
		var updates []cowslipmirror.Update
		var copies []cowslipmirror.Update
		last := make([]cowslipplatform.Revision, len(mirrors))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			r := store.Revision()
			i := rapid.IntRange(0, len(mirrors)-1).Draw(t, "copy")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				next := cowslipplatform.NewRevision(r.Era(), r.Number()+1)
				c := put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), r.Number()+1)
				c.Removed = rapid.Bool().Draw(t, "removed")
				c.Revision, c.Data = next, []byte(next.String())
				store.Apply(cowslipmirror.Update{From: r, Revision: next, Changes: []cowslipplatform.Change{c}})
			case 1:
				updates = append(updates, store.Since(mirrors[i].Revision()))
			case 2:
				updates = append(updates, mirrors[i].Since(mirrors[(i+1)%len(mirrors)].Revision()))
			case 3:
				if len(updates) > 0 {
					mirrors[i].Apply(updates[rapid.IntRange(0, len(updates)-1).Draw(t, "held")])
				}
			case 4:
				copies = append(copies, store.Since(cowslipplatform.Revision{}))
			case 5:
				if len(copies) > 0 {
					store.Apply(inEra(r.Era()+1, copies[rapid.IntRange(0, len(copies)-1).Draw(t, "copy of the store")]))
				}
			}
			for n, c := range mirrors {
				if c.Revision().Before(last[n]) {
					t.Fatalf("mirror %d went back from revision %s to %s", n, last[n], c.Revision())
				}
				last[n] = c.Revision()
			}
		}
		for n, c := range mirrors {
			c.Apply(store.Since(c.Revision()))
			if data(c) != data(store) || c.Revision() != store.Revision() {
				t.Fatalf("mirror %d holds %s at %s, the store holds %s at %s", n, data(c), c.Revision(), data(store), store.Revision())
			}
		}
	})
}

func TestWait(t *testing.T) {
	m := &cowslipmirror.Mirror{}
	done := make(chan struct{})
	go func() {
		m.Wait(t.Context(), cowslipplatform.Revision{})
		close(done)
	}()
	m.Apply(cowslipmirror.Update{Full: true, Revision: at(4), ConfirmedAt: time.Unix(1, 0)})
	<-done
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	m.Wait(ctx, at(4))
	require.Equal(t, time.Unix(1, 0), m.ConfirmedAt())
}

// When the store fails, all leases expire, and they are written again at once. A
// follower gets only the last change of each key, in order.
func TestSinceGivesTheLastChangeOfEachKey(t *testing.T) {
	m, f := &cowslipmirror.Mirror{}, &cowslipmirror.Mirror{}
	full := cowslipmirror.Update{Full: true, Revision: at(3), Changes: []cowslipplatform.Change{put("a", 1), put("b", 2), put("c", 3)}}
	m.Apply(full)
	f.Apply(full)
	m.Apply(cowslipmirror.Update{From: at(3), Revision: at(8), Changes: []cowslipplatform.Change{remove("a", 4), remove("b", 5), put("a", 6), put("a", 7), remove("c", 8)}})
	u := m.Since(at(3))
	require.Equal(t, []cowslipplatform.Change{remove("b", 5), put("a", 7), remove("c", 8)}, u.Changes)
	require.True(t, f.Apply(u))
	require.Equal(t, content(m), content(f))
	require.Equal(t, []cowslipplatform.Change{remove("c", 8)}, f.Since(at(7)).Changes)
}

// Guards against a history that holds a value for each of its changes: with a large value that
// changes often, an instance exceeds its memory. Followers get the last value all the same.
func TestHistoryHoldsValuesOnce(t *testing.T) {
	const size, changes = 256 << 10, 3000
	var m cowslipmirror.Mirror
	require.True(t, m.Apply(cowslipmirror.Update{Full: true, Revision: at(1)}))
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for r := uint64(2); r < changes; r++ {
		c := cowslipplatform.Change{Value: cowslipplatform.Value{Key: fmt.Sprint("k", r%3), Data: make([]byte, size), Revision: at(r)}}
		c.Data[0] = byte(r)
		require.True(t, m.Apply(cowslipmirror.Update{From: at(r - 1), Revision: at(r), Changes: []cowslipplatform.Change{c}}))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	require.Less(t, after.HeapAlloc-before.HeapAlloc, uint64(10*size))
	u := m.Since(at(2))
	require.False(t, u.Full)
	require.Len(t, u.Changes, 3)
	for _, c := range u.Changes {
		require.Len(t, c.Data, size)
		require.Equal(t, byte(c.Revision.Number()), c.Data[0])
	}
}

// Followers at any revision of the history get the last change of each key, also once the
// oldest changes are gone.
func TestSinceWithAHistoryThatIsTrimmed(t *testing.T) {
	const last = 10000
	var m cowslipmirror.Mirror
	require.True(t, m.Apply(cowslipmirror.Update{Full: true, Revision: at(1)}))
	for r := uint64(2); r <= last; r++ {
		c := cowslipplatform.Change{Value: cowslipplatform.Value{Key: fmt.Sprint("k", r%7), Data: []byte(fmt.Sprint(r)), Revision: at(r)}}
		require.True(t, m.Apply(cowslipmirror.Update{From: at(r - 1), Revision: at(r), Changes: []cowslipplatform.Change{c}}))
	}
	for _, from := range []uint64{2, 100, last - 4200, last - 4000, last - 100, last - 3, last} {
		u := m.Since(at(from))
		f := cowslipmirror.Mirror{}
		require.Equal(t, from < last-4096, u.Full, "from %d", from)
		if u.Full {
			require.True(t, f.Apply(u))
			require.Equal(t, m.Values(), f.Values())
			continue
		}
		require.Len(t, u.Changes, int(min(last-from, 7)))
		for _, c := range u.Changes {
			require.Equal(t, c.Revision.String(), string(c.Data))
			require.Greater(t, c.Revision.Number(), from)
		}
	}
}
