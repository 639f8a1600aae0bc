package cowslipentry

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"

	"github.com/stretchr/testify/require"
	clocktesting "k8s.io/utils/clock/testing"
)

// Guards against an answer that waited while the process stood still and counts as new: what
// follows from it would rest on content that the store has replaced since.
func TestAnswerFromBeforeAPauseConfirmsNothingLater(t *testing.T) {
	const pause = cowslipcontrol.ViewTTL + time.Second
	for _, x := range []struct {
		name        string
		pause, tick bool // the control loop runs after the pause, before the answer is handled
	}{{"no pause", false, true}, {"the answer is handled first", true, false}, {"the control loop runs first", true, true}} {
		t.Run(x.name, func(t *testing.T) {
			now := time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC)
			c := clocktesting.NewFakeClock(now)
			e := &Entry{clock: c, pauses: pauses{now: func() time.Time { return now }}}
			e.pauses.tick()
			began, pausesBegan := c.Now(), now
			want := began
			if x.pause {
				now = now.Add(pause)
			}
			c.Step(pause)
			if x.tick {
				e.pauses.tick()
			}
			if !x.pause {
				want = c.Now()
			}
			require.Equal(t, want, e.confirmedBy(began, pausesBegan))
			e.pauses.tick()
			require.Equal(t, c.Now(), e.confirmedBy(c.Now(), now), "a call after the pause")
		})
	}
}
