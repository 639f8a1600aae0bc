package cowslipentry_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

// configWithDomainOut returns an edit that starts from revision base and sets the
// state of a failure domain to out.
func configWithDomainOut(base string, domain string) string {
	return "revision = " + base + "\n" + strings.Replace(wideConfig, "name = \""+domain+"\"\n", "name = \""+domain+"\"\nstate = \"out\"\n", 1)
}

// runsSince counts the requests that the targets of a failure domain executed after
// the given time, according to the targets' own records.
func (c *cluster) runsSince(domain string, at time.Time) int {
	n := 0
	for _, x := range c.targets {
		if x.Options().FailureDomain != domain {
			continue
		}
		for _, r := range x.Record().Runs {
			if r.At.After(at) {
				n++
			}
		}
	}
	return n
}

// A failure domain that is taken out receives no requests after a few seconds, even if
// one instance is cut from the platform, its peers or both. It serves again when it is
// put back.
func TestFailureDomainOut(t *testing.T) {
	for _, x := range []struct {
		name string
		cut  func(c *cluster)
	}{
		{"no cut", func(*cluster) {}},
		{"one instance cut from the platform", func(c *cluster) { c.platform.SetFaults(cowslipstandin.PlatformFaults{Cut: []string{"e2"}}) }},
		{"one instance cut from its peers", func(c *cluster) { c.links.isolate("e2") }},
		{"one instance cut from both", func(c *cluster) {
			c.platform.SetFaults(cowslipstandin.PlatformFaults{Cut: []string{"e2"}})
			c.links.isolate("e2")
		}},
		{"platform away right after the edit", nil},
	} {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t)
			c.addTargets(wideTarget(), 8, 2, 1)
			c.start(3, wideConfig)
			c.awaitComplete("diaries")
			stop := queryContinuously(c, "diaries")
			if x.cut != nil {
				x.cut(c)
			}
			c.apply(0, configWithDomainOut("1", "puerto"))
			accepted := time.Now()
			if x.cut == nil {
				c.platform.SetFaults(cowslipstandin.PlatformFaults{Down: true})
			}
			time.Sleep(maxReactionTime + 2*time.Second)
			require.Zero(t, c.runsSince("puerto", accepted.Add(maxReactionTime)))
			require.NotZero(t, c.runsSince("plan", accepted.Add(maxReactionTime)), "the others serve")
			c.platform.SetFaults(cowslipstandin.PlatformFaults{})
			c.links.heal()
			c.eventually("in force everywhere", func() bool { return len(c.status(0).InForce) == 3 && c.status(1).Revision == 2 })
			c.apply(1, "revision = 2\n"+wideConfig)
			back := time.Now()
			c.eventually("the domain serves again", func() bool { return c.runsSince("puerto", back) > 0 })
			stop()
		})
	}
}

// If operators send edits from the same revision concurrently, one edit is accepted
// and the others are refused as conflicts, which name the accepted edit.
func TestOperatorsRace(t *testing.T) {
	c := newCluster(t)
	c.addTargets(wideTarget(), 8, 2, 1)
	c.start(3, wideConfig)
	for round, base := range []string{"1", "2", "3"} {
		var w sync.WaitGroup
		status := make([]int, 6)
		for i := range status {
			w.Go(func() {
				status[i] = call(c.nodes[i%3].operators, "POST", "/v1/config", cowslipentry.ApplyRequest{Text: configWithDomainOut(base, domains[i%3]), By: "racer"}, nil)
			})
		}
		w.Wait()
		won := 0
		for _, s := range status {
			if s == 200 {
				won++
			} else {
				require.Equal(t, 409, s)
			}
		}
		require.Equal(t, 1, won)
		c.eventually("in force everywhere", func() bool { return len(c.status(2).InForce) == 3 && c.status(2).Revision == uint64(round+2) })
	}
}

// An edit whose response is lost after the write took effect is accepted exactly once.
// While the platform is down, an edit is refused with 503 and has no effect.
func TestLostAnswersOfEdits(t *testing.T) {
	c := newCluster(t)
	c.addTargets(wideTarget(), 8, 2, 1)
	c.start(2, wideConfig)
	c.platform.SetFaults(cowslipstandin.PlatformFaults{LoseWrites: 1})
	a := c.apply(0, configWithDomainOut("1", "plan"))
	require.EqualValues(t, 2, a.Revision)
	require.Equal(t, 200, call(c.nodes[1].operators, "POST", "/v1/config", cowslipentry.ApplyRequest{Text: configWithDomainOut("1", "plan"), EditID: a.EditID}, &a), "the same edit again")
	require.EqualValues(t, 2, a.Revision)
	c.platform.SetFaults(cowslipstandin.PlatformFaults{Down: true})
	require.Equal(t, 503, call(c.nodes[0].operators, "POST", "/v1/config", cowslipentry.ApplyRequest{Text: configWithDomainOut("2", "cerro")}, nil))
	c.platform.SetFaults(cowslipstandin.PlatformFaults{})
	c.eventually("still revision 2", func() bool { return c.status(0).Revision == 2 && c.status(1).Revision == 2 })
}

// If the store comes back with an older revision, running instances and one that
// starts then ignore it, and the store is repaired.
func TestStoreComesBackOlder(t *testing.T) {
	c := newCluster(t)
	c.addTargets(wideTarget(), 8, 2, 1)
	c.start(2, wideConfig)
	old := c.platform.Backup()
	c.apply(0, configWithDomainOut("1", "plan"))
	c.eventually("in force everywhere", func() bool { return c.status(1).Revision == 2 })
	c.platform.Restore(old)
	n := c.addNode(func(o *cowslipentry.Options) { o.Seeds = []string{c.nodes[0].peers} })
	c.eventually("the new instance has revision 2", func() bool { return c.status(2).Revision == 2 })
	c.eventually("the store is repaired", func() bool {
		for _, e := range c.timeline(0).Events {
			if e.Kind == "storeRepaired" {
				return true
			}
		}
		return false
	})
	require.EqualValues(t, 2, c.status(0).Revision)
	require.EqualValues(t, 2, c.status(1).Revision)
	require.NotNil(t, n)
}

// An instance that starts while the platform is down gets the configuration from its
// peers.
func TestInstanceStartsDuringAnOutage(t *testing.T) {
	c := newCluster(t)
	c.addTargets(wideTarget(), 8, 2, 1)
	c.start(2, wideConfig)
	c.platform.SetFaults(cowslipstandin.PlatformFaults{Down: true})
	c.addNode(func(o *cowslipentry.Options) { o.Seeds = []string{c.nodes[1].peers} })
	c.eventually("the new instance has the configuration", func() bool { return c.status(2).Revision == 1 })
}

// A leaving target receives no requests after a few seconds, whether it says so in its
// responses, is listed as leaving or disappears from the list.
func TestLeavingTargets(t *testing.T) {
	c := newCluster(t)
	l := c.addTargets(wideTarget(), 8, 3, 1)
	c.start(3, wideConfig)
	c.awaitComplete("diaries")
	stop := queryContinuously(c, "diaries")
	c.platform.SetFaults(cowslipstandin.PlatformFaults{ListLag: time.Hour})
	l[0].SetFaults(cowslipstandin.TargetFaults{Leaving: true})
	byResponse := time.Now()
	time.Sleep(time.Second)
	c.platform.SetFaults(cowslipstandin.PlatformFaults{})
	c.listTarget(l[3], true)
	c.platform.RemoveInstance(l[6].Options().ID)
	byList := time.Now()
	time.Sleep(maxReactionTime + time.Second)
	stop()
	for _, x := range []struct {
		target *cowslipstandin.Target
		at     time.Time
	}{{l[0], byResponse}, {l[3], byList}, {l[6], byList}} {
		late := 0
		for _, r := range x.target.Record().Runs {
			if r.At.After(x.at.Add(maxReactionTime)) {
				late++
			}
		}
		require.Zero(t, late, x.target.Options().ID)
	}
}
