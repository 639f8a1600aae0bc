package cowslipentry_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// wideConfig is a configuration with one wide service, whose targets are warm
// immediately.
const wideConfig = wideServiceConfig + `slots = 8
connections = 200
warmTime = "1ms"
deadline = "2s"
`

func wideTarget() cowslipstandin.TargetOptions {
	return cowslipstandin.TargetOptions{Service: "diaries", Version: "v1", Slots: 8, Queue: 32, Latency: 2 * time.Millisecond}
}

// requireConsistent checks an answer against the content of the stand-in targets: it
// must have each key of the covered ranges exactly once, all of the stated index
// version.
func requireConsistent(t require.TestingT, a cowslipentry.QueryAnswer) {
	for _, s := range a.Answers {
		missing := map[uint32]bool{}
		for _, m := range s.Coverage.Missing {
			for k := m.Lo; k < m.Hi; k++ {
				missing[k] = true
			}
		}
		want := []cowsliptarget.Item{}
		for k := uint32(0); k < cowsliptarget.KeySpace; k += cowslipstandin.KeyStep {
			if !missing[k] {
				want = append(want, cowsliptarget.Item{Key: k, Text: fmt.Sprintf("entry %d of index version %d", k, s.IndexVersion)})
			}
		}
		require.Equal(t, want, s.Items)
		require.InDelta(t, float64(cowsliptarget.KeySpace-len(missing))/cowsliptarget.KeySpace, s.Coverage.Fraction, 1e-9)
	}
}

// queryDeadline is the deadline of each query that queryContinuously sends.
const queryDeadline = time.Second

// queryContinuously sends queries through all nodes until stopped and checks each
// answer. An answer that lacks only late parts is not counted if the whole test
// process was paused meanwhile, since the machine caused the delay and not the code.
func queryContinuously(c *cluster, service string) (stop func() (answers, whole int)) {
	quit := make(chan bool)
	dog := startWatchdog()
	var w sync.WaitGroup
	var mu sync.Mutex
	answers, whole, stalled := 0, 0, 0
	var bad error
	var partial []string
	for _, n := range c.nodes {
		w.Go(func() {
			for {
				select {
				case <-quit:
					return
				default:
				}
				at := time.Now()
				a, s := n.query(service, queryDeadline)
				if s != 200 {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				x := &errorCollector{}
				requireConsistent(x, a)
				excused := missingOnlyLate(a) && dog.stalled(at, queryDeadline)
				mu.Lock()
				if excused {
					stalled++
					mu.Unlock()
					continue
				}
				answers++
				if a.Complete {
					whole++
				} else {
					for _, x := range a.Answers {
						partial = append(partial, fmt.Sprintf("missing %v, index version %d, %d needed, %d sent, %d shed, %d late, crashed %v", x.Coverage.Missing, x.IndexVersion, x.Needed, x.Sent, x.Shed, x.Late, x.Crashed))
					}
				}
				if x.err != nil && bad == nil {
					bad = x.err
				}
				mu.Unlock()
			}
		})
	}
	return func() (int, int) {
		close(quit)
		w.Wait()
		dog.stop()
		require.NoError(c.t, bad)
		if stalled > 0 {
			c.t.Logf("%d answers with late parts not counted, since the process was paused", stalled)
		}
		for _, p := range partial[:min(len(partial), 5)] {
			c.t.Log(p)
		}
		return answers, whole
	}
}

// missingOnlyLate reports whether parts are missing from an answer, all of them because
// they arrived after the merge had closed.
func missingOnlyLate(a cowslipentry.QueryAnswer) bool {
	for _, s := range a.Answers {
		n := 0
		for _, m := range s.Coverage.Missing {
			n += int(m.Hi-m.Lo) * s.Needed / cowsliptarget.KeySpace
		}
		if n != s.Late {
			return false
		}
	}
	return !a.Complete
}

// errorCollector keeps the first failure of checks that run outside the test's
// goroutine.
type errorCollector struct{ err error }

// Errorf records a failure.
func (c *errorCollector) Errorf(format string, a ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, a...)
	}
}

// FailNow does nothing, since Errorf has recorded the failure.
func (c *errorCollector) FailNow() {}

// setShard replaces the holdings of a target by one shard of an index version.
func setShard(x *cowslipstandin.Target, version uint64, shard, shards int) {
	lo, hi := cowslipstandin.ShardRange(shard, shards)
	x.SetHoldings([]cowsliptarget.Holding{{IndexVersion: version, Lo: lo, Hi: hi}})
}

// Index versions and the shard map change while queries run, first one replica after
// the other and then all at once. Every answer must be of one index version and state
// its coverage.
func TestIndexVersionsChangeUnderQueries(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 2, 1)
	c.start(3, wideConfig)
	c.awaitComplete("diaries")
	stop := queryContinuously(c, "diaries")
	for r := range 2 {
		for s := range 8 {
			setShard(l[2*s+r], 2, s, 8)
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i, x := range l {
		setShard(x, 3, i%4, 4)
	}
	time.Sleep(300 * time.Millisecond)
	for i, x := range l {
		setShard(x, 4, i, 16)
	}
	c.eventually("the newest version serves", func() bool {
		a, s := c.query(0, "diaries", time.Second)
		return s == 200 && a.Complete && a.Answers[0].IndexVersion == 4
	})
	answers, whole := stop()
	require.NotZero(t, whole)
	t.Logf("%d answers, %d whole", answers, whole)
}

// Responses that are swapped, truncated, doubled or dropped, or that are errors, must
// never reach a caller. The other replica answers instead.
func TestBrokenResponsesUnderQueries(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 2, 1)
	c.start(3, wideConfig)
	c.awaitComplete("diaries")
	stop := queryContinuously(c, "diaries")
	for i, f := range []cowslipstandin.TargetFaults{{Swap: true}, {Truncate: true}, {Double: true}, {DropReplies: 20}, {FailEvery: 3}} {
		l[2*i].SetFaults(f)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	answers, whole := stop()
	require.NotZero(t, whole)
	t.Logf("%d answers, %d whole", answers, whole)
}

// If a shard loses all its replicas, answers state its key range as missing, both
// immediately and later.
func TestLostShardIsAGap(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 2, 1)
	c.start(2, wideConfig)
	c.awaitComplete("diaries")
	l[6].Kill()
	l[7].Kill()
	lo, hi := cowslipstandin.ShardRange(3, 8)
	for i := range 2 {
		a, s := c.query(i, "diaries", 300*time.Millisecond)
		require.Equal(t, 200, s)
		requireConsistent(t, a)
		require.False(t, a.Complete)
		require.Equal(t, lo, a.Answers[0].Coverage.Missing[0].Lo)
		require.Equal(t, hi, a.Answers[0].Coverage.Missing[0].Hi)
	}
}
