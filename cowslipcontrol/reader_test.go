package cowslipcontrol_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"

	"github.com/stretchr/testify/require"
)

// newFleet returns instances that know each other from the platform's list. Each is
// named by its failure domain and a number.
func newFleet(now time.Time, domains map[string]int) map[string]*cowslipcontrol.Control {
	l := map[string]*cowslipcontrol.Control{}
	var members []cowslipcontrol.Member
	for d, n := range domains {
		for i := range n {
			id := fmt.Sprint(d, i)
			l[id] = cowslipcontrol.New(cowslipcontrol.Options{ID: id, FailureDomain: d, ListOnly: true}, now)
			members = append(members, cowslipcontrol.Member{ID: id, FailureDomain: d, Addr: id})
		}
	}
	for _, c := range l {
		c.UpdateMembers(now, members)
	}
	return l
}

// Scenario: failure domains are drained while the store refuses single instances. Every
// instance must follow the reader of its own failure domain and those of the others.
// It must never follow another follower, which could follow it in turn.
func TestFollowersFollowReaders(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	fleet := newFleet(now, map[string]int{"a": 3, "b": 2, "c": 1})
	readers := map[string]string{}
	for id, c := range fleet {
		if c.Sources().ReadsStore {
			require.Empty(t, readers[id[:1]], "one reader in each failure domain")
			readers[id[:1]] = id
		}
	}
	require.Len(t, readers, 3)
	for id, c := range fleet {
		s := c.Sources()
		if !s.ReadsStore {
			require.Equal(t, readers[id[:1]], s.OwnReader.ID)
		}
		require.Len(t, s.OtherReaders, 2)
		for _, o := range s.OtherReaders {
			require.Equal(t, readers[o.FailureDomain], o.ID)
		}
	}
}

func TestReaderIsReplaced(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	fleet := newFleet(now, map[string]int{"a": 3})
	for _, c := range fleet {
		for o := c.Sources().OwnReader; o != (cowslipcontrol.Member{}); o = c.Sources().OwnReader {
			c.PeerFailed(now, o.ID, true)
		}
		require.True(t, c.Sources().ReadsStore, "an instance whose peers are gone reads the store itself")
	}
	for _, c := range newFleet(now, map[string]int{"a": 3}) {
		c.Leave()
		require.False(t, c.Sources().ReadsStore, "an instance that is leaving does not read the store")
		require.NotEqual(t, cowslipcontrol.Member{}, c.Sources().OwnReader)
	}
}

// Scenario: all leases lapse and come back while the configuration changes, so every
// follower copies hundreds of changes at once. Instances with the processor and network
// capacity to serve the followers must be the readers as long as there are any.
func TestReadersAreCarriers(t *testing.T) {
	now := time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)
	l := []cowslipcontrol.Member{{ID: "a0", FailureDomain: "a", Addr: "a0", Capacity: 0.8}, {ID: "b0", FailureDomain: "b", Addr: "b0", Capacity: 0.8}}
	for i := range 20 {
		l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("a", i+1), FailureDomain: "a", Addr: fmt.Sprint("a", i+1), Capacity: 0.2})
		l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("b", i+1), FailureDomain: "b", Addr: fmt.Sprint("b", i+1), Capacity: 0.2})
	}
	for _, m := range l {
		c := cowslipcontrol.New(cowslipcontrol.Options{ID: m.ID, FailureDomain: m.FailureDomain, Capacity: m.Capacity, ListOnly: true}, now)
		c.UpdateMembers(now, l)
		s := c.Sources()
		require.Equal(t, m.Capacity == 0.8, s.ReadsStore, m.ID)
		if !s.ReadsStore {
			require.Equal(t, m.FailureDomain+"0", s.OwnReader.ID)
		}
	}
	c := cowslipcontrol.New(cowslipcontrol.Options{ID: "a1", FailureDomain: "a", Capacity: 0.2, ListOnly: true}, now)
	c.UpdateMembers(now, l)
	c.PeerFailed(now, "a0", true)
	s := c.Sources()
	require.True(t, s.ReadsStore || s.OwnReader.ID != "a0" && s.OwnReader.ID != "", "another instance reads the store while the large one is gone")
}
