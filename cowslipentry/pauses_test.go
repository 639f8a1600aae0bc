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
			e := &Entry{clock: c, pauses: pauses{elapsed: func() time.Time { return now }}}
			e.pauses.tick(c.Now())
			began := c.Now()
			c.Step(pause)
			want := c.Now()
			if x.pause {
				now, want = now.Add(pause), began
			}
			if x.tick {
				e.pauses.tick(c.Now())
			}
			require.Equal(t, want, e.confirmedBy(began))
			e.pauses.tick(c.Now())
			require.Equal(t, c.Now(), e.confirmedBy(c.Now()), "a call after the pause")
		})
	}
}
