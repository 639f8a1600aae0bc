package cowslipusage

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
)

// Errors of a call that sends a report.
const (
	// ErrTooManyCalls means that the platform takes no more calls at present.
	ErrTooManyCalls = errors.ConstError("cowslipusage: too many calls")
	// ErrRejected means that the platform does not accept the report as it is.
	ErrRejected = errors.ConstError("cowslipusage: report rejected")
)

// Constants of a Reporter.
const (
	// reportShare is the time from the end of a window to its report, as a share of the
	// time allowed. Counts arrive within about two seconds; the rest is for retries and
	// for a change of the holder.
	reportShare = 0.6
	// maxReportAge is the age at which a window is no longer reported.
	maxReportAge = time.Minute
	// settleTime is how long after a change of the holder the counts of all instances are
	// known: they learn of it within about a second and send all windows at once.
	settleTime = 2 * time.Second
	// firstTime is how long after taking the duty a holder without sums decides which window
	// is the first. After a start of all instances, their counts wait for the correction
	// of their time, which they get from the holder once settleTime is over.
	firstTime = 2 * settleTime
	// sumsLag is how long after the end of a window all its counts are in the sums.
	sumsLag = 2500 * time.Millisecond
	// reportTTL is how long reports and sums stay in the store. One lease serves for all of
	// them for reportLeaseReuse, which costs the platform fewer calls. What is left then
	// is longer than maxReportAge, so that no window is reported anew once its key is gone.
	reportTTL        = 6 * time.Minute
	reportLeaseReuse = 2 * time.Minute
	// minRetry and maxRetry bound the delay between attempts to send a report.
	minRetry = 500 * time.Millisecond
	maxRetry = 4 * time.Second
	// storeRetry is the delay after a call to the store that failed.
	storeRetry = 500 * time.Millisecond
)

// ReporterOptions configure a Reporter. Event may be nil.
type ReporterOptions struct {
	ID        string
	Token     uint64
	Window    time.Duration
	Late      time.Duration // after the end of a window, its report is late
	MinPeriod time.Duration // between two calls to the platform
	Event     func(kind, detail string)
}

// report is a window whose counts are no longer open.
type report struct {
	window int64
	body   []byte
	stored bool // body is what the store has
	unsure bool // the store may have it, or another one
	retry  time.Duration
	at     time.Time // of the next attempt
}

// ReporterCounts count what a Reporter did.
type ReporterCounts struct {
	Reported int64 `json:"reported"` // reports that arrived
	Late     int64 `json:"late"`     // those of them that arrived late
	Failed   int64 `json:"failed"`   // calls that failed
	Dropped  int64 `json:"dropped"`  // windows that were too old, or whose report was rejected
}

// Reporter decides what an instance that has taken the duty does: it reads the sums of its
// predecessor, writes each report to the store, sends it, and writes its own sums. It has at
// most one call in flight. Create it with NewReporter. It is not safe for concurrent use.
type Reporter struct {
	o         ReporterOptions
	collector *Collector
	began     time.Time
	busy      Action

	sumsRead  bool
	hasNext   bool
	next      int64     // the first window that is still open
	covered   time.Time // windows that ended before have all their counts in the sums that were read
	sumsRev   cowslipplatform.Revision
	sumsNext  int64     // the first open window that they state
	sumsAt    time.Time // when to write the sums next
	lease     cowslipplatform.Lease
	leaseAt   time.Time
	retryAt   time.Time // of calls to the store
	sendAt    time.Time // of calls to the platform
	pending   []*report // oldest first
	last      int64     // the last window reported
	lastBody  []byte
	counts    ReporterCounts
	hasWindow bool
}

// NewReporter returns a reporter of an instance that has taken the duty at now.
func NewReporter(o ReporterOptions, c *Collector, now time.Time) *Reporter {
	if o.Event == nil {
		o.Event = func(string, string) {}
	}
	return &Reporter{o: o, collector: c, began: now, sumsAt: now.Add(o.Window / 2)}
}

// Last returns the last window that was reported with its report, and whether there is one.
func (r *Reporter) Last() (int64, []byte, bool) { return r.last, r.lastBody, r.hasWindow }

// Counts returns what the reporter did so far.
func (r *Reporter) Counts() ReporterCounts { return r.counts }

// Settled reports whether all instances had time to send their counts and times.
func (r *Reporter) Settled(now time.Time) bool { return now.Sub(r.began) >= settleTime }

// Next returns the call to make now, None if there is none. Now is the process's own time.
// Without permission to act it returns None.
func (r *Reporter) Next(now time.Time, correction time.Duration, mayAct bool) Action {
	if r.busy.Kind != None || !mayAct {
		return Action{}
	}
	r.busy = r.nextAction(now, now.Add(correction))
	return r.busy
}

func (r *Reporter) nextAction(now, wall time.Time) Action {
	storeReady := !now.Before(r.retryAt)
	if !r.sumsRead {
		if storeReady {
			return Action{Kind: Get, Key: SumsKey}
		}
		return Action{}
	}
	r.closeWindows(now, wall)
	r.dropOld(wall)
	if storeReady && (r.lease.IsZero() || now.Sub(r.leaseAt) > reportLeaseReuse) {
		r.leaseAt = now
		return Action{Kind: Grant, TTL: reportTTL}
	}
	for _, p := range r.pending {
		switch {
		case p.stored && !now.Before(p.at) && !now.Before(r.sendAt):
			r.sendAt = now.Add(r.o.MinPeriod)
			return Action{Kind: Send, Window: p.window, Data: p.body, Token: r.o.Token}
		case p.stored || !storeReady:
			continue
		case p.unsure:
			return Action{Kind: Get, Key: reportKey(p.window), Window: p.window}
		default:
			return Action{Kind: Put, Key: reportKey(p.window), Data: p.body, Lease: r.lease, Window: p.window}
		}
	}
	if storeReady && !now.Before(r.sumsAt) && r.sumsChanged() {
		return r.writeSums(now, wall)
	}
	return Action{}
}

func reportKey(window int64) string { return ReportsPrefix + strconv.FormatInt(window, 10) }

// closeWindows closes the windows whose reports are due.
func (r *Reporter) closeWindows(now, wall time.Time) {
	first := WindowAt(wall.Add(-maxReportAge), r.o.Window)
	if !r.hasNext {
		if now.Sub(r.began) < firstTime {
			return
		}
		r.next, r.hasNext = WindowAt(r.began.Add(wall.Sub(now)), r.o.Window), true
		if k, ok := r.collector.First(); ok {
			r.next = max(min(r.next, k), first)
		}
	}
	if r.next < first {
		r.drop(r.next, first-1, "no instance could report them")
		r.next = first
		r.collector.Close(first - 1)
	}
	for r.isDue(now, wall) {
		b, err := json.Marshal(struct {
			Window int64  `json:"window"`
			Counts Counts `json:"counts"`
		}{r.next, r.collector.Totals(r.next)})
		if err != nil {
			r.drop(r.next, r.next, err.Error())
		} else {
			r.pending = append(r.pending, &report{window: r.next, body: b})
		}
		r.collector.Close(r.next)
		r.next++
	}
}

func (r *Reporter) isDue(now, wall time.Time) bool {
	end := WindowEnd(r.next, r.o.Window)
	if !end.Add(sumsLag).After(r.covered) {
		return true
	}
	return r.Settled(now) && !wall.Before(end.Add(time.Duration(reportShare*float64(r.o.Late))))
}

// dropOld drops the reports that are too old to be sent.
func (r *Reporter) dropOld(wall time.Time) {
	for len(r.pending) > 0 && WindowEnd(r.pending[0].window, r.o.Window).Add(maxReportAge).Before(wall) {
		k := r.pending[0].window
		r.pending = r.pending[1:]
		r.drop(k, k, "it was not acknowledged in time")
	}
}

func (r *Reporter) drop(first, last int64, reason string) {
	r.counts.Dropped += last - first + 1
	r.o.Event("usageDropped", fmt.Sprintf("windows %d to %d: %s", first, last, reason))
}

// Stop returns the call that leaves the sums to a successor when the process stops, None if
// there is nothing to leave, or a closed window that is not in the store yet.
func (r *Reporter) Stop(now time.Time, correction time.Duration) Action {
	for _, p := range r.pending {
		if !p.stored {
			return Action{}
		}
	}
	if !r.sumsRead || r.lease.IsZero() || !r.sumsChanged() {
		return Action{}
	}
	return r.writeSums(now, now.Add(correction))
}

// sumsChanged reports whether the sums differ from those in the store. They also tell a
// successor which windows in which nothing ran are still to be reported.
func (r *Reporter) sumsChanged() bool {
	return r.hasNext && (r.collector.Changed() || r.sumsNext != r.firstOpen())
}

// firstOpen returns the first window whose report is not known to have arrived.
func (r *Reporter) firstOpen() int64 {
	if len(r.pending) > 0 {
		return r.pending[0].window
	}
	return r.next
}

func (r *Reporter) writeSums(now, wall time.Time) Action {
	s := r.collector.Sums()
	s.ID, s.Token, s.At, s.Next = r.o.ID, r.o.Token, wall, r.firstOpen()
	r.sumsNext = s.Next
	r.sumsAt = now.Add(r.o.Window / 2)
	b, err := s.Encode()
	if err != nil {
		r.o.Event("usageSumsNotWritten", err.Error())
		return Action{}
	}
	return Action{Kind: Put, Key: SumsKey, Data: b, Expect: r.sumsRev, Lease: r.lease}
}

// Done handles the result of the call that Next returned.
func (r *Reporter) Done(now time.Time, correction time.Duration, x Result) {
	a := r.busy
	r.busy = Action{}
	switch {
	case a.Kind == Grant:
		r.lease = x.Lease
		if x.Err != nil {
			r.lease, r.retryAt = cowslipplatform.Lease{}, now.Add(storeRetry)
		}
	case a.Kind == Get && a.Key == SumsKey:
		r.readSums(now, x)
	case a.Kind == Put && a.Key == SumsKey:
		r.wroteSums(now, x)
	case a.Kind == Get:
		r.readReport(now, a.Window, x)
	case a.Kind == Put:
		r.wroteReport(now, a.Window, x)
	case a.Kind == Send:
		r.sent(now, now.Add(correction), a.Window, x.Err)
	}
}

func (r *Reporter) readSums(now time.Time, x Result) {
	if x.Err != nil && !errors.Is(x.Err, cowslipplatform.ErrNotFound) {
		r.retryAt = now.Add(storeRetry)
		return
	}
	r.sumsRead = true
	if x.Err != nil {
		r.sumsRev = cowslipplatform.Revision{}
		return
	}
	r.sumsRev = x.Value.Revision
	s, err := DecodeSums(x.Value.Data)
	if err != nil {
		r.o.Event("usageSumsNotRead", err.Error())
		return
	}
	if !r.hasNext {
		r.next, r.hasNext, r.covered = s.Next, true, s.At
		r.collector.Close(s.Next - 1)
	}
	r.collector.Load(s)
}

// wroteSums handles the result of writing the sums. After a failure, their revision is read
// again, as the write may have taken effect, or the lease may have ended.
func (r *Reporter) wroteSums(now time.Time, x Result) {
	if x.Err != nil {
		r.sumsRead, r.retryAt, r.sumsAt, r.collector.changed = false, now.Add(storeRetry), now, true
		if errors.Is(x.Err, cowslipplatform.ErrLeaseExpired) {
			r.lease = cowslipplatform.Lease{}
		}
		return
	}
	r.sumsRev = x.Revision
}

func (r *Reporter) find(window int64) *report {
	for _, p := range r.pending {
		if p.window == window {
			return p
		}
	}
	return &report{}
}

func (r *Reporter) wroteReport(now time.Time, window int64, x Result) {
	p := r.find(window)
	switch {
	case x.Err == nil:
		p.stored = true
	case errors.Is(x.Err, cowslipplatform.ErrConflict):
		p.unsure = true
	case errors.Is(x.Err, cowslipplatform.ErrLeaseExpired):
		r.lease = cowslipplatform.Lease{}
	default:
		p.unsure, r.retryAt = true, now.Add(storeRetry)
	}
}

// readReport handles the stored report of a window, which replaces the own one.
func (r *Reporter) readReport(now time.Time, window int64, x Result) {
	p := r.find(window)
	switch {
	case x.Err == nil:
		p.body, p.stored, p.unsure = x.Value.Data, true, false
	case errors.Is(x.Err, cowslipplatform.ErrNotFound):
		p.unsure = false
	default:
		r.retryAt = now.Add(storeRetry)
	}
}

func (r *Reporter) sent(now, wall time.Time, window int64, err error) {
	p := r.find(window)
	if err == nil {
		r.arrived(wall, p)
		return
	}
	r.counts.Failed++
	p.retry = min(max(2*p.retry, minRetry), maxRetry)
	p.at = now.Add(p.retry)
	if errors.Is(err, ErrTooManyCalls) {
		r.sendAt = p.at
	}
}

func (r *Reporter) arrived(wall time.Time, p *report) {
	r.counts.Reported++
	if wall.After(WindowEnd(p.window, r.o.Window).Add(r.o.Late)) {
		r.counts.Late++
		r.o.Event("usageLate", fmt.Sprintf("window %d was reported %.1f s after its end", p.window, wall.Sub(WindowEnd(p.window, r.o.Window)).Seconds()))
	}
	if !r.hasWindow || p.window > r.last {
		r.last, r.lastBody, r.hasWindow = p.window, p.body, true
	}
	r.remove(p.window)
}

func (r *Reporter) remove(window int64) {
	for i, p := range r.pending {
		if p.window == window {
			r.pending = append(r.pending[:i], r.pending[i+1:]...)
			return
		}
	}
}
