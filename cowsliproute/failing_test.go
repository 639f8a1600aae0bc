package cowsliproute_test

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// A replica in the instances' own failure domain sheds nearly half of its requests, while
// one in another domain answers well. Eight instances find this out independently. Shed
// requests use up the retry budget, which is a fifth of the requests, and must leave
// enough of it for hedges of a tenth.
func TestSheddingReplicaIsLeft(t *testing.T) {
	const (
		instances = 8
		requests  = 8000
		perSecond = 110
		shedShare = 0.45
		slots     = 2
		usual     = 10 * time.Millisecond
		budget    = 0.2
		hedges    = 0.1
	)
	type end struct {
		at       time.Time
		replicas []*cowsliproute.Target // as the instance knows them
		n        int
		shed     bool
		took     time.Duration
	}
	g := rand.New(rand.NewPCG(1, 2))
	var pending []end
	var replicasOf [instances][]*cowsliproute.Target
	for i := range replicasOf {
		replicasOf[i] = replicas(2)
	}
	var running [2]int
	finish := func(x end) {
		running[x.n]--
		h := x.replicas[x.n]
		h.RecordProgress(x.at)
		h.Release()
		h.SetLoad(running[x.n])
		if x.shed {
			h.ObserveFailure(usual)
			return
		}
		h.ObserveLatency(x.took)
	}
	v := cowsliproute.NewView(cowsliproute.ViewOptions{FailureDomain: "cerro"})
	now, shed := t0, 0
	for range requests {
		now = now.Add(time.Duration(g.ExpFloat64() * float64(time.Second) / perSecond))
		for len(pending) > 0 && pending[0].at.Before(now) {
			finish(pending[0])
			pending = pending[1:]
		}
		e := end{replicas: replicasOf[g.IntN(instances)]}
		x := v.Pick(e.replicas, cowsliproute.PickOptions{Now: now, PreferOwnDomain: true}, g)
		x.RecordSent(now)
		e.n = slices.Index(e.replicas, x)
		running[e.n]++
		e.took = time.Duration(float64(usual) * (0.5 + g.Float64()) * max(float64(running[e.n])/slots, 1))
		if e.n == 0 && g.Float64() < shedShare {
			e.shed, e.took = true, time.Millisecond
			shed++
		}
		e.at = now.Add(e.took)
		pending = append(pending, e)
		slices.SortFunc(pending, func(a, b end) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	}
	t.Logf("%d of %d shed", shed, requests)
	require.LessOrEqual(t, float64(shed), (budget-hedges)*requests)
}
