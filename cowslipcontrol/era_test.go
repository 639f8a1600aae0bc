package cowslipcontrol_test

import (
	"strings"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
)

const judgedMove = "s/v2/5"

// endMove runs the move of a simulation until all instances know its outcome.
func endMove(x *judgeSimulation, bad bool) {
	for len(x.outcomes) == 0 {
		x.run(tick, func() bool { return bad })
	}
	for _, c := range x.nodes {
		_, e := c.Tick(x.now)
		for _, o := range e.Outcomes {
			c.Outcome(o)
			c.MoveRecordRead(judgedMove, cowslipplatform.NewRevision(1, 200), cowslipplatform.NewRevision(1, 200), cowslipcontrol.RecordEnded)
		}
	}
	for range 3 {
		for id, c := range x.nodes {
			for p, o := range x.nodes {
				if p != id {
					c.Message(x.now, x.now, o.State(x.now, id))
				}
			}
		}
	}
	x.outcomes = nil
	x.run(time.Second, func() bool { return bad })
	require.Empty(x.t, x.outcomes, "the outcome is recorded")
}

// Guards against an outcome that the store has lost and that nobody records again, though
// targets have acted on it: whoever starts later begins the move anew.
func TestLostOutcomeIsRecordedAgain(t *testing.T) {
	for _, c := range []struct {
		name  string
		bad   bool
		alone bool // only an instance that does not judge is left
		want  string
	}{
		{"done", false, false, "true"},
		{"taken back", true, false, "false"},
		{"no judge knows it", false, true, "true"},
	} {
		t.Run(c.name, func(t *testing.T) {
			x := newJudgeSimulation(t, 8)
			judges := map[string]bool{}
			for _, p := range x.nodes["e0"].MovePeers() {
				judges[p.ID] = true
			}
			endMove(x, c.bad)
			for id, n := range x.nodes {
				if c.alone && judges[id] {
					delete(x.nodes, id)
					continue
				}
				n.EraBegan(x.now, cowslipplatform.NewRevision(2, 60), x.now)
				n.MoveRecordRead(judgedMove, cowslipplatform.NewRevision(2, 50), cowslipplatform.NewRevision(2, 60), cowslipcontrol.RecordStarted)
			}
			x.run(2500*time.Millisecond, func() bool { return c.bad })
			require.NotEmpty(t, x.outcomes)
			for _, o := range x.outcomes {
				require.Equal(t, c.want, o)
			}
			for _, n := range x.nodes {
				n.MoveRecordRead(judgedMove, cowslipplatform.NewRevision(2, 61), cowslipplatform.NewRevision(2, 61), cowslipcontrol.RecordEnded)
			}
			x.outcomes = nil
			x.run(time.Second, func() bool { return c.bad })
			require.Empty(t, x.outcomes, "it is recorded")
		})
	}
}

// Guards against an order that the store has lost and that operators write again: it has another
// number, and was taken for another order, which began the move anew.
func TestOrderWrittenAgainIsTheSameMove(t *testing.T) {
	again := strings.Replace(judgedConfig, "order = 5", "order = 3", 1)
	x := newJudgeSimulation(t, 3)
	x.run(9*time.Second, func() bool { return false })
	for _, c := range x.nodes {
		c.EraBegan(x.now, cowslipplatform.NewRevision(2, 2), x.now)
		c.MoveRecordRead("s/v2/3", cowslipplatform.Revision{}, cowslipplatform.NewRevision(2, 3), cowslipcontrol.RecordMissing)
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 3, Era: 2, Text: again}, "test"))
		require.Equal(t, "moving", c.Moves(x.now)[0].State)
	}
	for len(x.outcomes) == 0 && x.now.Before(time.Date(2026, 12, 4, 8, 0, 12, 0, time.UTC)) {
		x.run(tick, func() bool { return false })
	}
	require.Contains(t, x.outcomes, "true", "the move goes on and ends in time")
	for _, c := range x.nodes {
		c.Outcome(&cowslipmessage.Outcome{Move: "s/v2/3", Done: true})
	}
	for id, c := range x.nodes {
		c.EraBegan(x.now, cowslipplatform.NewRevision(3, 2), x.now)
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 9, Era: 3, Text: strings.Replace(again, "order = 3", "order = 8", 1)}, "test"))
		require.Equal(t, "done", c.Moves(x.now)[0].State, id)
		x.now = x.now.Add(time.Minute)
		c.Tick(x.now)
		require.True(t, c.Offer(cowslipcontrol.Accepted{Revision: 10, Era: 3, Text: strings.Replace(again, "order = 3", "order = 10", 1)}, "test"))
		require.Equal(t, "canary", c.Moves(x.now)[0].State, "a later order begins the move anew")
	}
}

// Guards against an outcome that a platform without eras has lost, as after a restore from a backup.
func TestOutcomeMissingFromTheListIsRecordedAgain(t *testing.T) {
	c := newJudgeSimulation(t, 1).nodes["e0"]
	o := &cowslipmessage.Outcome{Move: judgedMove, Done: true}
	c.Outcome(o)
	c.OutcomesListed([]cowslipmessage.Outcome{{Move: judgedMove, Done: true}})
	_, e := c.Tick(t0)
	require.Empty(t, e.Outcomes)
	c.OutcomesListed(nil)
	_, e = c.Tick(t0)
	require.Equal(t, []*cowslipmessage.Outcome{o}, e.Outcomes)
}
