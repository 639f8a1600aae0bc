package cowslipquery_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipquery"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"gonum.org/v1/gonum/stat/distuv"
)

// Load: both replicas of a quarter of the shards shed nearly half of their
// requests, more than the retry budget can make good. Retries go first to the
// answers that would fail without them, so that few do.
func TestRetriesGoToAnswersThatNeedThem(t *testing.T) {
	const (
		shards, grey = 20, 5
		least        = 18
		queries      = 600
		perSecond    = 14 // queries of one instance
		shedShare    = 0.45
		allowance    = 0.25 // retries a second besides the share of the queries
	)
	c, err := cowslipconfig.Parse([]byte("[[failureDomains]]\nname='a'\n[[services]]\nname='s'\nkind='narrow'\nextraLoad=0.18\n"))
	require.NoError(t, err)
	s, _ := c.Service("s")
	var services []*cowsliproute.Service
	for range shards {
		b := &cowsliproute.Budget{}
		b.SetAllowance(4, allowance)
		services = append(services, cowsliproute.NewService(cowsliproute.ServiceOptions{Config: s, Budget: b}))
	}
	g := rand.New(rand.NewPCG(1, 2))
	failed, parts := 0, 0
	for n := range queries {
		start := t0.Add(time.Duration(n) * time.Second / perSecond)
		x := newTrial(t, shards, 0, func(_ int, o cowslipquery.Order) reply {
			if o.Part < grey && g.Float64() < shedShare {
				return reply{after: ms, outcome: cowsliptarget.Shed}
			}
			return reply{after: 10 * ms}
		}, func(o *cowslipquery.CourseOptions) {
			o.CloseAt, o.EnoughAt, o.RoomBy = start.Add(time.Second), start.Add(80*ms), start.Add(80*ms)
			o.Least, o.AskAgain = least, true
			for i := range o.Parts {
				o.Parts[i].Service = services[i]
			}
		})
		x.now = start
		x.run()
		done := 0
		for i := range shards {
			if x.course.Winner(i) >= 0 {
				done++
			}
		}
		if done < least {
			failed++
			continue
		}
		parts += done
	}
	// What fails if each shard retries an even share of what was shed.
	retried := s.ExtraLoad() + allowance/perSecond
	even := distuv.Binomial{N: grey, P: shedShare - retried*(1-shedShare)}.Survival(shards - least)
	t.Logf("%d of %d failed, %.2f parts an answer an even spread of the retries fails %.0f", failed, queries, float64(parts)/float64(queries-failed), even*queries)
	require.Less(t, float64(failed), even/2*queries)
}

// A part that the answer can do without waits for the budget, and is sent once
// another one fails, too.
func TestParkedPartIsSentOnceNeeded(t *testing.T) {
	b := &cowsliproute.Budget{}
	b.SetAllowance(3, 0)
	b.Earn(1.5)
	x := newTrial(t, 10, 0, func(n int, o cowslipquery.Order) reply {
		switch {
		case o.Part == 0 && n < 10:
			return reply{after: ms, outcome: cowsliptarget.Failed}
		case o.Part == 1:
			return reply{after: 10 * ms, outcome: cowsliptarget.Failed}
		}
		return reply{after: 5 * ms}
	}, func(o *cowslipquery.CourseOptions) {
		c := o.Parts[0].Service.Config()
		o.Parts[0].Service = cowsliproute.NewService(cowsliproute.ServiceOptions{Config: c, Budget: b})
		o.EnoughAt, o.Least, o.HedgeAfter = t0.Add(90*ms), 9, 0
	})
	x.run()
	require.Len(t, x.sent, 11)
	require.Equal(t, 0, x.sent[10].Part)
	require.Equal(t, 45*ms, x.now.Sub(t0), "the other one is given up at half of the time")
}
