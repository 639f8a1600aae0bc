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

// The store and two peers deliver the same changes concurrently. The content passed to
// the control state must never go back to an older revision.
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
	e, err := New(Options{ID: "e1", Peers: l, StoreCodec: StoreCodec{Decode: decode}})
	require.NoError(t, err)
	close(e.loopDone) // there is no control loop; the test checks only the decoded content
	change := func(n uint64) cowslipplatform.Change {
		return cowslipplatform.Change{Value: cowslipplatform.Value{Key: "k", Data: []byte(strconv.FormatUint(n, 10)), Revision: cowslipplatform.NewRevision(0, n)}}
	}
	e.applyUpdate(cowslipmirror.Update{Full: true, Revision: cowslipplatform.NewRevision(0, 1), Changes: []cowslipplatform.Change{change(1)}}, "test")
	var w sync.WaitGroup
	for range 3 {
		w.Go(func() {
			for n := uint64(1); n < 2000; n++ {
				e.applyUpdate(cowslipmirror.Update{From: cowslipplatform.NewRevision(0, n), Revision: cowslipplatform.NewRevision(0, n+1), Changes: []cowslipplatform.Change{change(n + 1)}}, "test")
			}
		})
	}
	w.Wait()
	require.Zero(t, back)
	require.Equal(t, 2000, last)
}

// The store silently stops answering all readers, and a configuration changes at that
// time. Each follower must notice that its mirror is stale and read the store itself
// before the configuration must be in force. While the readers answer, no follower may
// consider its mirror stale.
func TestOldCopiesAreNoticedInTime(t *testing.T) {
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second, 15 * time.Second} {
		e := &Entry{opts: Options{Bounds: Bounds{Apply: bound}}}
		for i := range 100 {
			e.opts.ID = strconv.Itoa(i)
			noticed := e.takeoverAge() + e.shareOfStaleAge(ageCheckShare) + storeRetryInterval/4
			require.Less(t, noticed, bound)
			follower := e.shareOfStaleAge(storeWaitShare) + e.shareOfStaleAge(storeIntervalShare) + e.shareOfStaleAge(followWaitShare)
			require.Less(t, follower, e.takeoverAge())
		}
	}
	require.Equal(t, defaultStaleAge, (&Entry{}).staleAge())
}

// Hundreds of changes reach every follower at once. A follower asks the readers of other
// failure domains for them only if the reader of its own does not keep its mirror fresh.
func TestOtherReadersAreAskedWhenTheOwnOneFails(t *testing.T) {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC))
	e := &Entry{opts: Options{Bounds: Bounds{Apply: 4500 * time.Millisecond}}, clock: c, mirror: &cowslipmirror.Mirror{}}
	require.False(t, e.isMirrorFresh(), "the mirror is empty")
	e.mirror.Apply(cowslipmirror.Update{Full: true, Revision: cowslipplatform.NewRevision(0, 1), ConfirmedAt: c.Now()})
	require.True(t, e.isMirrorFresh())
	c.Step(time.Second)
	require.True(t, e.isMirrorFresh())
	c.Step(time.Second)
	require.False(t, e.isMirrorFresh())
	require.Less(t, c.Now().Sub(e.mirror.ConfirmedAt()), e.staleAge(), "others are asked before the store is")
}

// The store refuses a third of the instances, including all readers, and serves the
// others. A refused instance must ask any instance, not only readers.
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
				got = append(got, pickOtherSource(c.s, n, draw).ID)
			}
			require.Equal(t, c.want, got)
		})
	}
}
