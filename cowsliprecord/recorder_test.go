package cowsliprecord_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliprecord"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"k8s.io/utils/clock"
	"pgregory.net/rapid"
)

// errLost is the error of a store call whose request or response is lost.
var errLost = fmt.Errorf("request or response lost")

// countingTarget counts how often a request ran.
type countingTarget struct {
	mu   sync.Mutex
	runs int
}

func (t *countingTarget) send(o cowsliptarget.Outcome, runs bool) cowsliprecord.SendFunc {
	return func(context.Context) (string, cowsliptarget.Outcome) {
		t.mu.Lock()
		defer t.mu.Unlock()
		if runs {
			t.runs++
		}
		return "stored", o
	}
}

// writeFault is a fault injected into one write to the store.
type writeFault int

const (
	noFault writeFault = iota
	responseLost
	requestLost
)

// faultyStore returns a store that injects the nth fault into its nth write.
// Later writes succeed.
func faultyStore(s *cowslipplatform.Store, faults ...writeFault) *cowslipplatform.Store {
	c := *s
	n := 0
	c.Put = func(ctx context.Context, w cowslipplatform.Write) (cowslipplatform.Revision, error) {
		x := noFault
		if n < len(faults) {
			x = faults[n]
		}
		n++
		if x == requestLost {
			return cowslipplatform.Revision{}, errLost
		}
		r, err := s.Put(ctx, w)
		if x == responseLost {
			return cowslipplatform.Revision{}, errLost
		}
		return r, err
	}
	return &c
}

func recorder(entry string, s *cowslipplatform.Store) *cowsliprecord.Recorder {
	return &cowsliprecord.Recorder{Entry: entry, Store: s, Clock: clock.RealClock{}, Background: func(f func(context.Context)) { f(context.Background()) }}
}

func request(id string) cowsliprecord.Request {
	return cowsliprecord.Request{ID: id, Service: "households", Key: "visit-17", Fingerprint: 1}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	c, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return c
}

const (
	longTimeout  = 10 * time.Second
	shortTimeout = 200 * time.Millisecond
)

func TestKeyedRequestRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name    string
		faults  []writeFault // in the first call's writes: the claim, then its final state
		outcome cowsliptarget.Outcome
		ran     bool
		first   cowsliprecord.Verdict
		second  cowsliprecord.Verdict
		runs    int
	}{
		{"all works", nil, cowsliptarget.OK, true, cowsliprecord.Ran, cowsliprecord.Ran, 1},
		{"answer of the claim lost after its effect", []writeFault{responseLost}, cowsliptarget.OK, true, cowsliprecord.Ran, cowsliprecord.Ran, 1},
		{"claim lost before its effect", []writeFault{requestLost}, cowsliptarget.OK, true, cowsliprecord.Ran, cowsliprecord.Ran, 1},
		{"answer of the end lost after its effect", []writeFault{noFault, responseLost}, cowsliptarget.OK, true, cowsliprecord.Ran, cowsliprecord.Ran, 1},
		{"end lost before its effect", []writeFault{noFault, requestLost}, cowsliptarget.OK, true, cowsliprecord.Ran, cowsliprecord.Ran, 1},
		{"connection lost after the run", nil, cowsliptarget.Lost, true, cowsliprecord.Unknown, cowsliprecord.Unknown, 1},
		{"connection lost before the run", nil, cowsliptarget.Lost, false, cowsliprecord.Unknown, cowsliprecord.Unknown, 0},
		{"answer of another request", nil, cowsliptarget.Corrupt, true, cowsliprecord.Unknown, cowsliprecord.Unknown, 1},
		{"failed", nil, cowsliptarget.Failed, true, cowsliprecord.Unknown, cowsliprecord.Unknown, 1},
		{"shed, then run by the repeat", nil, cowsliptarget.Shed, false, cowsliprecord.NotRun, cowsliprecord.Ran, 1},
		{"never sent, then run by the repeat", nil, cowsliptarget.NotSent, false, cowsliprecord.NotRun, cowsliprecord.Ran, 1},
		{"shed, end lost before its effect", []writeFault{noFault, requestLost}, cowsliptarget.Shed, false, cowsliprecord.NotRun, cowsliprecord.Ran, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := cowslipstandin.NewPlatform(nil)
			var x countingTarget
			a := recorder("e1", faultyStore(p.Store("e1"), c.faults...)).Run(contextWithTimeout(t, longTimeout), request("a"), x.send(c.outcome, c.ran))
			require.Equal(t, c.first, a.Verdict)
			b := recorder("e2", p.Store("e2")).Run(contextWithTimeout(t, longTimeout), request("b"), x.send(cowsliptarget.OK, true))
			require.Equal(t, c.second, b.Verdict)
			require.Equal(t, c.runs, x.runs)
			if c.first == cowsliprecord.Ran {
				require.True(t, b.Repeated)
				require.Equal(t, "stored", b.Result)
			}
		})
	}
}

// Guards against the answer "not run" for a request that an earlier call may run or have
// run: the deadline ends the repeat during a call to the store, after it has read the
// earlier call's claim.
func TestRepeatEndsDuringAStoreCall(t *testing.T) {
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for _, c := range []struct {
		name string
		hang func(s *cowslipplatform.Store) // makes calls to the store hang
	}{
		{"write", func(s *cowslipplatform.Store) {
			s.Put = func(ctx context.Context, _ cowslipplatform.Write) (cowslipplatform.Revision, error) {
				return cowslipplatform.Revision{}, hang(ctx)
			}
		}},
		{"read", func(s *cowslipplatform.Store) {
			s.Get = func(ctx context.Context, _ string) (cowslipplatform.Value, error) {
				return cowslipplatform.Value{}, hang(ctx)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := cowslipstandin.NewPlatform(nil)
			s := *p.Store("e2")
			get := s.Get
			s.Get = func(ctx context.Context, key string) (cowslipplatform.Value, error) {
				v, err := get(ctx, key)
				c.hang(&s)
				return v, err
			}
			var b cowsliprecord.Response
			a := recorder("e1", p.Store("e1")).Run(contextWithTimeout(t, longTimeout), request("a"), func(context.Context) (string, cowsliptarget.Outcome) {
				b = recorder("e2", &s).Run(contextWithTimeout(t, shortTimeout), request("b"), nil)
				return "stored", cowsliptarget.OK
			})
			require.Equal(t, cowsliprecord.Ran, a.Verdict)
			require.Equal(t, cowsliprecord.Unknown, b.Verdict)
		})
	}
}

func TestRepeatWhileTheFirstCallRuns(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	var x countingTarget
	sent, answer := make(chan bool), make(chan bool)
	first := make(chan cowsliprecord.Response)
	go func() {
		first <- recorder("e1", p.Store("e1")).Run(contextWithTimeout(t, longTimeout), request("a"), func(ctx context.Context) (string, cowsliptarget.Outcome) {
			close(sent)
			<-answer
			return x.send(cowsliptarget.OK, true)(ctx)
		})
	}()
	<-sent
	b := recorder("e2", p.Store("e2")).Run(contextWithTimeout(t, shortTimeout), request("b"), x.send(cowsliptarget.OK, true))
	require.Equal(t, cowsliprecord.Unknown, b.Verdict, "the first call may still run")
	close(answer)
	require.Equal(t, cowsliprecord.Ran, (<-first).Verdict)
	b = recorder("e2", p.Store("e2")).Run(contextWithTimeout(t, longTimeout), request("c"), x.send(cowsliptarget.OK, true))
	require.Equal(t, cowsliprecord.Response{Verdict: cowsliprecord.Ran, Result: "stored", Repeated: true}, b)
	require.Equal(t, 1, x.runs)
}

func TestHolderDiesBetweenClaimAndSend(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	var x countingTarget
	func() {
		defer func() { recover() }()
		recorder("e1", p.Store("e1")).Run(contextWithTimeout(t, longTimeout), request("a"), func(context.Context) (string, cowsliptarget.Outcome) {
			panic("the instance crashes")
		})
	}()
	b := recorder("e2", p.Store("e2")).Run(contextWithTimeout(t, shortTimeout), request("b"), x.send(cowsliptarget.OK, true))
	require.Equal(t, cowsliprecord.Unknown, b.Verdict)
	require.Zero(t, x.runs)
}

func TestPlatformDownMeansNotRun(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	p.SetFaults(cowslipstandin.PlatformFaults{Down: true})
	var x countingTarget
	r := recorder("e1", p.Store("e1"))
	r.Background = nil
	a := r.Run(contextWithTimeout(t, shortTimeout), request("a"), x.send(cowsliptarget.OK, true))
	require.Equal(t, cowsliprecord.NotRun, a.Verdict)
	require.Zero(t, x.runs)
	p.SetFaults(cowslipstandin.PlatformFaults{})
	a = r.Run(contextWithTimeout(t, longTimeout), request("b"), x.send(cowsliptarget.OK, true))
	require.Equal(t, cowsliprecord.Ran, a.Verdict, "the platform is back")
	require.Equal(t, 1, x.runs)
}

// A claim takes effect, but the responses to its write and to the following
// reads are lost, so the call ends with "not run". Once the store can be read
// again, the claim must be released so that a repeat runs.
func TestDoubtfulClaimIsReleased(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	s := faultyStore(p.Store("e1"), responseLost)
	get, reads := s.Get, 0
	s.Get = func(ctx context.Context, key string) (cowslipplatform.Value, error) {
		if reads++; reads < 4 {
			return cowslipplatform.Value{}, errLost
		}
		return get(ctx, key)
	}
	var x countingTarget
	var tasks []func(context.Context)
	r := recorder("e1", s)
	r.Background = func(f func(context.Context)) { tasks = append(tasks, f) }
	ctx, cancel := context.WithTimeout(context.Background(), 120*time.Millisecond)
	defer cancel()
	require.Equal(t, cowsliprecord.NotRun, r.Run(ctx, request("a"), x.send(cowsliptarget.OK, true)).Verdict)
	require.Len(t, tasks, 1)
	tasks[0](context.Background())
	require.Equal(t, cowsliprecord.Ran, recorder("e2", p.Store("e2")).Run(contextWithTimeout(t, longTimeout), request("b"), x.send(cowsliptarget.OK, true)).Verdict)
	require.Equal(t, 1, x.runs)
}

func TestKeyUsedForAnotherRequest(t *testing.T) {
	p := cowslipstandin.NewPlatform(nil)
	var x countingTarget
	require.Equal(t, cowsliprecord.Ran, recorder("e1", p.Store("e1")).Run(contextWithTimeout(t, longTimeout), request("a"), x.send(cowsliptarget.OK, true)).Verdict)
	q := request("b")
	q.Fingerprint = 2
	require.Equal(t, cowsliprecord.KeyReused, recorder("e1", p.Store("e1")).Run(contextWithTimeout(t, longTimeout), q, x.send(cowsliptarget.OK, true)).Verdict)
	require.Equal(t, 1, x.runs)
}

// Whatever the number of concurrent callers, the loss of requests to the store and
// of its responses, and the outcomes at the target, a key runs at most once, and a
// call that returns "not run" did not run.
func TestAnyRaceRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := cowslipstandin.NewPlatform(nil)
		n := rapid.IntRange(1, 4).Draw(t, "callers")
		var w sync.WaitGroup
		ran := make([]bool, n)
		verdicts := make([]cowsliprecord.Verdict, n)
		for i := range n {
			faults := rapid.SliceOfN(rapid.SampledFrom([]writeFault{noFault, noFault, responseLost, requestLost}), 0, 4).Draw(t, "writes")
			o := rapid.SampledFrom([]cowsliptarget.Outcome{cowsliptarget.OK, cowsliptarget.Shed, cowsliptarget.Lost, cowsliptarget.NotSent}).Draw(t, "outcome")
			w.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), 60*time.Millisecond)
				defer cancel()
				r := recorder(fmt.Sprint("e", i), faultyStore(p.Store(fmt.Sprint("e", i)), faults...))
				r.Background = nil
				verdicts[i] = r.Run(ctx, request(fmt.Sprint(i)), func(context.Context) (string, cowsliptarget.Outcome) {
					ran[i] = !o.NotRun()
					return "stored", o
				}).Verdict
			})
		}
		w.Wait()
		runs := 0
		for i := range n {
			if ran[i] {
				runs++
			}
			if verdicts[i] == cowsliprecord.NotRun && ran[i] {
				t.Fatalf("call %d ran but returned notRun", i)
			}
		}
		if runs > 1 {
			t.Fatalf("the key ran %d times", runs)
		}
	})
}
