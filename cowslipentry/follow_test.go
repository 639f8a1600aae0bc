package cowslipentry

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmirror"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
	clocktesting "k8s.io/utils/clock/testing"
)

// Load: the store and two peers bring the same changes at once. What the control
// state is told never goes back to an older copy.
func TestSourcesAtOnceNeverGoBack(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	var mu sync.Mutex
	last, back := 0, 0
	decode := func(v []cowslipplatform.Value) (StoreContents, []error) {
		n, _ := strconv.Atoi(string(v[0].Data))
		if n%3 == 0 {
			time.Sleep(50 * time.Microsecond)
		}
		mu.Lock()
		defer mu.Unlock()
		if n < last {
			back++
		}
		last = n
		return StoreContents{}, nil
	}
	e, err := New(Options{ID: "e1", Peers: l, Facts: StoreCodec{Decode: decode}})
	require.NoError(t, err)
	close(e.looped) // no control loop: only what would be told counts
	change := func(n uint64) cowslipplatform.Change {
		return cowslipplatform.Change{Value: cowslipplatform.Value{Key: "k", Data: []byte(strconv.FormatUint(n, 10)), Revision: n}}
	}
	e.applyUpdate(cowslipmirror.Update{Full: true, Revision: 1, Changes: []cowslipplatform.Change{change(1)}}, "test")
	var w sync.WaitGroup
	for range 3 {
		w.Go(func() {
			for n := uint64(1); n < 2000; n++ {
				e.applyUpdate(cowslipmirror.Update{From: n, Revision: n + 1, Changes: []cowslipplatform.Change{change(n + 1)}}, "test")
			}
		})
	}
	w.Wait()
	require.Zero(t, back)
	require.Equal(t, 2000, last)
}

// Load: the store turns every reader away in silence, and a configuration changes
// just then. Whoever follows them asks the store in time: the copy is old, and that
// is noticed, before the configuration must be in force; and while readers answer,
// no follower takes its copy for old.
func TestOldCopiesAreNoticedInTime(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 15 * time.Second} {
		e := &Entry{o: Options{Bounds: Bounds{Apply: bound}}}
		for i := range 100 {
			e.o.ID = strconv.Itoa(i)
			noticed := e.takeoverAge() + e.shareOfAge(checkShare) + storeRetry/4
			require.Less(t, noticed, bound)
			follower := e.shareOfAge(storeWaitShare) + e.shareOfAge(storePauseShare) + e.shareOfAge(followWaitShare)
			require.Less(t, follower, e.takeoverAge())
		}
	}
	require.Equal(t, defaultMaxCopyAge, (&Entry{}).copyAge())
}

// Load: hundreds of changes for every follower at once. The readers of other
// failure domains are asked for them too only once the own one fails to bring
// them.
func TestOtherReadersAreAskedWhenTheOwnOneFails(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC))
	e := &Entry{o: Options{Bounds: Bounds{Apply: 4500 * time.Millisecond}}, clock: c, mirror: &cowslipmirror.Mirror{}}
	require.False(t, e.upToDate(), "nothing is known yet")
	e.mirror.Apply(cowslipmirror.Update{Full: true, Revision: 1, ConfirmedAt: c.Now()})
	require.True(t, e.upToDate())
	c.Step(time.Second)
	require.True(t, e.upToDate())
	c.Step(time.Second)
	require.False(t, e.upToDate())
	require.Less(t, c.Now().Sub(e.mirror.ConfirmedAt()), e.copyAge(), "others are asked before the store is")
}

// Load: the store turns away a third of the instances, the readers among them, and
// serves the others. One that is turned away asks any instance, not readers alone.
func TestAnyInstanceIsAskedWhenReadersFail(t *testing.T) {
	m := func(id string) cowslipcontrol.Member { return cowslipcontrol.Member{ID: id, Addr: id} }
	readers, rest := []cowslipcontrol.Member{m("r1"), m("r2")}, []cowslipcontrol.Member{m("a"), m("b"), m("c")}
	for _, c := range []struct {
		name string
		s    cowslipcontrol.Sources
		want []string
	}{
		{"nobody is known", cowslipcontrol.Sources{}, []string{"", "", "", ""}},
		{"readers alone", cowslipcontrol.Sources{OtherReaders: readers}, []string{"r1", "r1", "r2", "r2"}},
		{"no readers", cowslipcontrol.Sources{OtherInstances: rest}, []string{"a", "b", "c", "a"}},
		{"both", cowslipcontrol.Sources{OtherReaders: readers, OtherInstances: rest}, []string{"r1", "a", "r2", "b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			drawn := -1
			draw := func(n int) int {
				drawn++
				return drawn % n
			}
			var got []string
			for n := range c.want {
				got = append(got, otherSource(c.s, n, draw).ID)
			}
			require.Equal(t, c.want, got)
		})
	}
}
