package cowslipentry

import (
	"bytes"
	"log/slog"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

// What an instance says at its end must be true: requests that outlast the grace period are
// not finished.
func TestStopSaysWhetherRequestsAreFinished(t *testing.T) {
	for _, c := range []struct {
		finished bool
		want     string
	}{{true, "all requests are finished"}, {false, "some requests are not finished"}} {
		e, clock := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"))
		e.opts.Bounds.Grace = 2 * time.Second
		done := make(chan struct{})
		said := make(chan string)
		began := clock.Now()
		go func() { said <- e.awaitRequests(began, done) }()
		if c.finished {
			close(done)
		} else {
			// The control loop waits on the same clock.
			require.Eventually(t, func() bool { return clock.Waiters() > 1 }, waitLimit, time.Millisecond)
			clock.Step(2 * time.Second)
		}
		require.Equal(t, c.want, <-said)
	}
}

// The wait of a result for a query that may have ended must follow the clock that was
// passed in.
func TestResultWaitsByTheGivenClock(t *testing.T) {
	e, clock := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"))
	r := &queryRun{Entry: e, request: callerRequest{deadline: time.Millisecond}, results: make(chan searchResult)}
	ended := make(chan bool)
	go func() {
		r.sendResult(searchResult{})
		close(ended)
	}()
	select {
	case <-ended:
		t.Fatal("the clock stands still")
	case <-time.After(50 * time.Millisecond):
	}
	clock.Step(time.Millisecond)
	select {
	case <-ended:
	case <-time.After(waitLimit):
		t.Fatal("the deadline is over")
	}
}

// A value that cannot be decoded must be named in the log, and must not hide others.
func TestUndecodedValuesAreLogged(t *testing.T) {
	var b bytes.Buffer
	l := decodeAll[cowslipcontrol.Member](slog.New(slog.NewJSONHandler(&b, nil)), []cowslipplatform.Value{
		{Key: "entries/bad", Data: []byte("?"), Revision: cowslipplatform.NewRevision(0, 3)}, {Key: "entries/e2", Data: []byte(`{"id":"e2"}`)},
	})
	require.Len(t, l, 1)
	require.Equal(t, "e2", l[0].ID)
	require.Contains(t, b.String(), "entries/bad")
}
