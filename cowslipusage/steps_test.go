package cowslipusage_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipusage"

	"github.com/stretchr/testify/require"
)

var vacant = cowslipusage.Seen{}

// newHolder returns a duty that was taken at the returned time.
func newHolder(t *testing.T) (*cowslipusage.Duty, time.Time) {
	d := cowslipusage.NewDuty(cowslipusage.Holder{ID: "e1"}, lease, start, nil)
	d.Next(start, vacant)
	now := start.Add(lease)
	require.Equal(t, cowslipusage.Grant, d.Next(now, vacant).Kind)
	d.Done(now, cowslipusage.Result{Lease: cowslipplatform.NewLease(0, 1)})
	require.Equal(t, cowslipusage.Put, d.Next(now, vacant).Kind)
	d.Done(now, cowslipusage.Result{Revision: cowslipplatform.NewRevision(0, 7)})
	require.True(t, d.MayAct(now))
	return d, now
}

// Failure: an earlier process of the instance held the duty, and another instance has held it
// since, which called the platform just before it ended. If nobody held it since, the new
// process takes it at once.
func TestProcessThatHasJustStartedWaits(t *testing.T) {
	for seen, wait := range map[string]time.Duration{"": lease, "e2": lease, "e1": 0} {
		d := cowslipusage.NewDuty(cowslipusage.Holder{ID: "e1", Incarnation: "2"}, lease, start, nil)
		require.Equal(t, cowslipusage.None, d.Next(start, cowslipusage.Seen{Holder: seen, Rank: -1}).Kind)
		now := start.Add(time.Second)
		if wait > 0 {
			require.Equal(t, cowslipusage.None, d.Next(now, vacant).Kind)
			require.Equal(t, cowslipusage.None, d.Next(now.Add(wait-1), vacant).Kind)
		}
		require.Equal(t, cowslipusage.Grant, d.Next(now.Add(wait), vacant).Kind)
	}
}

// Guards against two holders at once, and against a token that falls, when the store comes back from
// a copy that is older than the holder's key.
func TestDutyWhenTheStoreCameBackFromACopy(t *testing.T) {
	d, now := newHolder(t)
	before, _ := d.Holds(now)
	d.EraBegan(now)
	require.False(t, d.MayAct(now), "the key may be gone")
	other := cowslipusage.NewDuty(cowslipusage.Holder{ID: "e2"}, lease, start, nil)
	other.Next(start, vacant)
	other.EraBegan(now)
	require.Equal(t, cowslipusage.None, other.Next(now.Add(lease), vacant).Kind, "the holder may not have noticed")
	now = now.Add(2 * lease)
	require.Equal(t, cowslipusage.Grant, other.Next(now, vacant).Kind)
	other.Done(now, cowslipusage.Result{Lease: cowslipplatform.NewLease(1, 1)})
	require.Equal(t, cowslipusage.Put, other.Next(now, vacant).Kind)
	other.Done(now, cowslipusage.Result{Revision: cowslipplatform.NewRevision(1, 2)})
	after, ok := other.Holds(now)
	require.True(t, ok)
	require.Greater(t, after, before)
}

// Failure: the holder was suspended for less than its lease, as far as its clock tells.
func TestHolderAsksTheStoreAfterASuspension(t *testing.T) {
	d, now := newHolder(t)
	now = now.Add(600 * time.Millisecond)
	require.False(t, d.Tick(now))
	require.Equal(t, cowslipusage.KeepAlive, d.Next(now, vacant).Kind)
	d.Done(now, cowslipusage.Result{Err: errAway})
	require.False(t, d.MayAct(now), "the store has not answered")
	for range 6 { // the interval between failed renewals
		now = now.Add(step)
		d.Tick(now)
	}
	require.Equal(t, cowslipusage.KeepAlive, d.Next(now, vacant).Kind)
	d.Done(now, cowslipusage.Result{})
	require.True(t, d.MayAct(now))
}

// Failure: the lease ends, and the store shows no holder since. The instance that lost the
// duty waits for two leases.
func TestLostDutyIsTakenAgainLater(t *testing.T) {
	d, now := newHolder(t)
	require.Equal(t, cowslipusage.None, d.Next(now.Add(step), vacant).Kind)
	now = now.Add(time.Second)
	d.Next(now, vacant)
	d.Done(now, cowslipusage.Result{Err: cowslipplatform.ErrLeaseExpired})
	require.False(t, d.MayAct(now))
	require.Equal(t, cowslipusage.None, d.Next(now, vacant).Kind)
	require.Equal(t, cowslipusage.None, d.Next(now.Add(2*lease-1), vacant).Kind)
	// Another instance holds it for a while, of which only the end is seen.
	require.Equal(t, cowslipusage.None, d.Next(now.Add(2*lease), cowslipusage.Seen{Holder: "e2"}).Kind)
	require.Equal(t, cowslipusage.None, d.Next(now.Add(3*lease), vacant).Kind)
	require.Equal(t, cowslipusage.None, d.Next(now.Add(4*lease-1), vacant).Kind)
	require.Equal(t, cowslipusage.Grant, d.Next(now.Add(4*lease), vacant).Kind)
}

// Failure: the holder stops as planned. It gives the duty up at once, but not one that it
// has just taken, as its predecessor could come back within the lease.
func TestHolderGivesTheDutyUpWhenItStops(t *testing.T) {
	d, now := newHolder(t)
	require.Equal(t, cowslipusage.None, d.Release(now.Add(seconds(1))).Kind)
	for ; now.Before(start.Add(lease + lease)); now = now.Add(step) {
		if d.Next(now, vacant).Kind == cowslipusage.KeepAlive {
			d.Done(now, cowslipusage.Result{})
		}
	}
	require.Equal(t, cowslipusage.Revoke, d.Release(now).Kind)
	require.False(t, d.MayAct(now))
}

// Failure: the answer to the call that creates the key is lost. The duty is taken only if
// the key is this process's.
func TestLostAnswerOfTheStore(t *testing.T) {
	for holder, taken := range map[string]bool{`{"id":"e1"}`: true, `{"id":"e1","incarnation":"before"}`: false} {
		d := cowslipusage.NewDuty(cowslipusage.Holder{ID: "e1"}, lease, start, nil)
		d.Next(start, vacant)
		now := start.Add(lease)
		for _, r := range []cowslipusage.Result{{Lease: cowslipplatform.NewLease(0, 1)}, {Err: errAway}, {Value: cowslipplatform.Value{Data: []byte(holder), Revision: cowslipplatform.NewRevision(0, 9)}}} {
			require.NotEqual(t, cowslipusage.None, d.Next(now, vacant).Kind)
			d.Done(now, r)
		}
		require.Equal(t, taken, d.MayAct(now))
		require.Equal(t, taken, d.Next(now.Add(lease/3), vacant).Kind == cowslipusage.KeepAlive)
	}
}

// Failure: the holder and another process end at once. The successor reports what the
// sums have, at once where they are whole, and waits for the instances otherwise.
func TestSuccessorReportsFromTheSums(t *testing.T) {
	k := cowslipusage.WindowAt(start, window)
	before := cowslipusage.NewCollector(window)
	before.Add(start, cowslipusage.Report{ID: "gone", Now: start, Windows: map[int64]cowslipusage.Counts{k: {"a": 3}, k + 1: {"a": 1}}})
	s := before.Sums()
	s.At, s.Next = start.Add(seconds(8)), k
	b, err := s.Encode()
	require.NoError(t, err)

	c := cowslipusage.NewCollector(window)
	now := start.Add(seconds(16))
	r := cowslipusage.NewReporter(cowslipusage.ReporterOptions{Window: window, Late: late}, c, now)
	c.Add(now, cowslipusage.Report{ID: "e2", Now: now, Windows: map[int64]cowslipusage.Counts{k: {"a": 2}}})
	next := func(x cowslipusage.Result) cowslipusage.Action {
		a := r.Next(now, 0, true)
		r.Done(now, 0, x)
		return a
	}
	require.Equal(t, cowslipusage.SumsKey, next(cowslipusage.Result{Value: cowslipplatform.Value{Data: b, Revision: cowslipplatform.NewRevision(0, 4)}}).Key)
	require.Equal(t, cowslipusage.Grant, next(cowslipusage.Result{Lease: cowslipplatform.NewLease(0, 5)}).Kind)
	a := next(cowslipusage.Result{})
	require.Equal(t, cowslipusage.Put, a.Kind)
	require.JSONEq(t, fmt.Sprintf(`{"window":%d,"counts":{"a":5}}`, k), string(a.Data))
	require.Equal(t, cowslipusage.Send, next(cowslipusage.Result{}).Kind)
	require.Equal(t, cowslipusage.None, next(cowslipusage.Result{}).Kind, "the next window is not whole in the sums")
	now = now.Add(seconds(2))
	require.JSONEq(t, fmt.Sprintf(`{"window":%d,"counts":{"a":1}}`, k+1), string(next(cowslipusage.Result{}).Data))
}

// Failure: the interface rejects a report for good. Later ones are still sent in time.
func TestRejectedReportDelaysNoOther(t *testing.T) {
	var events []string
	c := cowslipusage.NewCollector(window)
	r := cowslipusage.NewReporter(cowslipusage.ReporterOptions{Window: window, Late: late, Event: func(k, d string) { events = append(events, k+" "+d) }}, c, start)
	sent := map[int64]int{}
	for now := start; now.Before(start.Add(seconds(80))); now = now.Add(step) {
		switch a := r.Next(now, 0, true); a.Kind {
		case cowslipusage.Get:
			r.Done(now, 0, cowslipusage.Result{Err: cowslipplatform.ErrNotFound})
		case cowslipusage.Send:
			sent[a.Window]++
			r.Done(now, 0, cowslipusage.Result{Err: map[bool]error{true: cowslipusage.ErrRejected}[a.Window == cowslipusage.WindowAt(start, window)]})
		default:
			r.Done(now, 0, cowslipusage.Result{Lease: cowslipplatform.NewLease(0, 1)})
		}
	}
	k := cowslipusage.WindowAt(start, window)
	require.InDelta(t, 17, sent[k], 3, "about every four seconds for a minute")
	for i := range int64(13) {
		require.Equal(t, 1, sent[k+1+i])
	}
	require.Len(t, events, 1)
	require.Contains(t, events[0], "usageDropped")
}

// Failure: a failure domain is lost. The candidates are not all in one.
func TestCandidatesAreInDifferentFailureDomains(t *testing.T) {
	var l []cowslipusage.Candidate
	for i := range 30 {
		l = append(l, cowslipusage.Candidate{ID: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i/20)})
	}
	domains := map[string]int{}
	for _, c := range l {
		if cowslipusage.Rank(c.ID, l) >= 0 {
			domains[c.FailureDomain]++
		}
	}
	require.Len(t, domains, 2)
	require.Equal(t, 3, domains["d0"]+domains["d1"])
}

// Failure: all instances have just started, and their counts come once they know the time.
// The first window is reported with them.
func TestFirstWindowOfADeployment(t *testing.T) {
	c := cowslipusage.NewCollector(window)
	began := start.Add(seconds(6))
	r := cowslipusage.NewReporter(cowslipusage.ReporterOptions{Window: window, Late: late}, c, began)
	k := cowslipusage.WindowAt(start, window)
	sent := map[int64]string{}
	for now := began; now.Before(start.Add(seconds(13))); now = now.Add(step) {
		if now.Sub(began) == seconds(3) {
			c.Add(now, cowslipusage.Report{ID: "e1", Now: now, Windows: map[int64]cowslipusage.Counts{k: {"a": 3}}})
		}
		switch a := r.Next(now, 0, true); a.Kind {
		case cowslipusage.Get:
			r.Done(now, 0, cowslipusage.Result{Err: cowslipplatform.ErrNotFound})
			continue
		case cowslipusage.Send:
			sent[a.Window] = string(a.Data)
		}
		r.Done(now, 0, cowslipusage.Result{Lease: cowslipplatform.NewLease(0, 1)})
	}
	require.Equal(t, map[int64]string{k: fmt.Sprintf(`{"window":%d,"counts":{"a":3}}`, k)}, sent)
}

// Failure: the holder ends while no requests run. The successor goes on with the first
// window that was not reported, although no instance has counts for it.
func TestSuccessorReportsWindowsWithoutRequests(t *testing.T) {
	var sums []byte
	sent := map[int64]bool{}
	for _, began := range []time.Time{start, start.Add(seconds(14))} {
		r := cowslipusage.NewReporter(cowslipusage.ReporterOptions{Window: window, Late: late}, cowslipusage.NewCollector(window), began)
		for now := began; now.Before(began.Add(seconds(12))); now = now.Add(step) {
			switch a := r.Next(now, 0, true); {
			case a.Kind == cowslipusage.Get && sums == nil:
				r.Done(now, 0, cowslipusage.Result{Err: cowslipplatform.ErrNotFound})
				continue
			case a.Key == cowslipusage.SumsKey && a.Kind == cowslipusage.Put:
				sums = a.Data
			case a.Kind == cowslipusage.Send:
				sent[a.Window] = true
			}
			r.Done(now, 0, cowslipusage.Result{Lease: cowslipplatform.NewLease(0, 1), Value: cowslipplatform.Value{Data: sums}})
		}
	}
	k := cowslipusage.WindowAt(start, window)
	require.Equal(t, map[int64]bool{k: true, k + 1: true, k + 2: true}, sent)
}
