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

// wideText has one wide service whose targets are warm at once.
const wideText = wideServiceConfig + `slots = 8
connections = 200
warmTime = "1ms"
deadline = "2s"
`

func wideTarget() cowslipstandin.TargetOptions {
	return cowslipstandin.TargetOptions{Service: "diaries", Version: "v1", Slots: 8, Queue: 32, Latency: 2 * time.Millisecond}
}

// requireHonest checks an answer against the content that the stand-ins hold:
// the keys of the covered ranges, once each, all of the version stated.
func requireHonest(t require.TestingT, a cowslipentry.QueryAnswer) {
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

// askDeadline is the deadline of each query that ask sends.
const askDeadline = time.Second

// ask sends queries through all nodes until stopped and checks each answer. An
// answer with late parts is not counted if the whole process stood still
// meanwhile: that tells of the machine, not of the code.
func ask(c *cluster, service string) (stop func() (answers, whole int)) {
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
				a, s := n.query(service, askDeadline)
				if s != 200 {
					time.Sleep(5 * time.Millisecond)
					continue
				}
				x := &collect{}
				requireHonest(x, a)
				excused := onlyLate(a) && dog.stalled(at, askDeadline)
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
			c.t.Logf("%d answers with late parts not counted: the process stood still", stalled)
		}
		for _, p := range partial[:min(len(partial), 5)] {
			c.t.Log(p)
		}
		return answers, whole
	}
}

// onlyLate tells whether parts are missing from an answer, and each of them since
// it came after the merge had closed.
func onlyLate(a cowslipentry.QueryAnswer) bool {
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

// collect keeps the first failure, for checks outside the test's goroutine.
type collect struct{ err error }

// Errorf notes a failure.
func (c *collect) Errorf(format string, a ...any) {
	if c.err == nil {
		c.err = fmt.Errorf(format, a...)
	}
}

// FailNow does nothing; the failure is noted.
func (c *collect) FailNow() {}

// hold changes the shard that a target holds.
func hold(x *cowslipstandin.Target, version uint64, shard, shards int) {
	lo, hi := cowslipstandin.ShardRange(shard, shards)
	x.SetHoldings([]cowsliptarget.Holding{{IndexVersion: version, Lo: lo, Hi: hi}})
}

// Index versions and the shard map change under running queries, one replica
// after the other and then all at once; every answer is of one version and
// states its coverage.
func TestIndexVersionsChangeUnderQueries(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 2, 1)
	c.start(3, wideText)
	c.awaitComplete("diaries")
	stop := ask(c, "diaries")
	for r := range 2 {
		for s := range 8 {
			hold(l[2*s+r], 2, s, 8)
			time.Sleep(20 * time.Millisecond)
		}
	}
	for i, x := range l {
		hold(x, 3, i%4, 4)
	}
	time.Sleep(300 * time.Millisecond)
	for i, x := range l {
		hold(x, 4, i, 16)
	}
	c.eventually("the newest version serves", func() bool {
		a, s := c.query(0, "diaries", time.Second)
		return s == 200 && a.Complete && a.Answers[0].IndexVersion == 4
	})
	answers, whole := stop()
	require.NotZero(t, whole)
	t.Logf("%d answers, %d whole", answers, whole)
}

// Responses that are swapped, truncated, doubled or dropped never reach a
// caller; the other replica answers.
func TestBrokenResponsesUnderQueries(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 2, 1)
	c.start(3, wideText)
	c.awaitComplete("diaries")
	stop := ask(c, "diaries")
	for i, f := range []cowslipstandin.TargetFaults{{Swap: true}, {Truncate: true}, {Double: true}, {DropReplies: 20}, {FailEvery: 3}} {
		l[2*i].SetFaults(f)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(300 * time.Millisecond)
	answers, whole := stop()
	require.NotZero(t, whole)
	t.Logf("%d answers, %d whole", answers, whole)
}

// A shard that loses all replicas appears as a gap, at once and later.
func TestLostShardIsAGap(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 2, 1)
	c.start(2, wideText)
	c.awaitComplete("diaries")
	l[6].Kill()
	l[7].Kill()
	lo, hi := cowslipstandin.ShardRange(3, 8)
	for i := range 2 {
		a, s := c.query(i, "diaries", 300*time.Millisecond)
		require.Equal(t, 200, s)
		requireHonest(t, a)
		require.False(t, a.Complete)
		require.Equal(t, lo, a.Answers[0].Coverage.Missing[0].Lo)
		require.Equal(t, hi, a.Answers[0].Coverage.Missing[0].Hi)
	}
}
