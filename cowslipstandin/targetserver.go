package cowslipstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"cowslipflow/cowsliptarget"

	"github.com/cloudwego/hertz/pkg/app"
)

// crashDowntime is how long a crashed target stays down.
const crashDowntime = 50 * time.Millisecond

func (t *Target) handleSearch(ctx context.Context, c *app.RequestContext, incarnation int) {
	var s cowsliptarget.Search
	if !decodeBody(c, &s) {
		return
	}
	a := t.admit(s.ID, s.Route, s.Query, s.Incarnation, false, func(h cowsliptarget.Holding) bool {
		return h.IndexVersion == s.IndexVersion && h.Lo == s.Lo && h.Hi == s.Hi
	})
	if !t.handleAdmission(ctx, c, a, s.ID, s.DeadlineMillis, incarnation) {
		return
	}
	r := cowsliptarget.SearchReply{ID: s.ID, IndexVersion: s.IndexVersion, Lo: s.Lo, Hi: s.Hi, Items: items(s), Report: t.report(false)}
	r.Checksum = cowsliptarget.Checksum(r.ID, r.Items)
	if a.faults.Swap {
		r.ID = t.previousID(s.ID)
		r.Checksum = cowsliptarget.Checksum(r.ID, r.Items)
	}
	if a.faults.Truncate && len(r.Items) > 0 {
		r.Items = r.Items[:len(r.Items)-1]
	}
	t.reply(c, r, a.faults.Double)
}

func (t *Target) handleRecord(ctx context.Context, c *app.RequestContext, incarnation int) {
	var q cowsliptarget.Record
	if !decodeBody(c, &q) {
		return
	}
	a := t.admit(q.ID, q.Route, q.Body, q.Incarnation, true, nil)
	if !t.handleAdmission(ctx, c, a, q.ID, q.DeadlineMillis, incarnation) {
		return
	}
	r := cowsliptarget.RecordReply{ID: q.ID, Result: "stored " + q.Body, Report: t.report(false)}
	if a.faults.Swap {
		r.ID = t.previousID(q.ID)
	}
	r.Checksum = cowsliptarget.Checksum(r.ID, []cowsliptarget.Item{{Text: r.Result}})
	t.reply(c, r, a.faults.Double)
}

// handleAdmission carries out an admission: it refuses the request, crashes the target, or
// runs the request and may then fail it. It reports whether the caller must send the
// answer.
func (t *Target) handleAdmission(ctx context.Context, c *app.RequestContext, a admission, id string, deadlineMillis int64, incarnation int) bool {
	if a.refusalCode != "" {
		sleep(ctx, t.options.NetworkDelay)
		c.JSON(503, cowsliptarget.Refusal{ID: id, Code: a.refusalCode, Report: t.report(a.refusalCode == cowsliptarget.CodeWrongVersion)})
		return false
	}
	if a.crash {
		t.crash(incarnation)
		return false
	}
	if deadlineMillis > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(deadlineMillis)*time.Millisecond)
		defer cancel()
	}
	t.mu.Lock()
	s := t.slots
	t.mu.Unlock()
	if !t.work(ctx, s, a.faults.Extra) {
		c.GetConn().Close()
		return false
	}
	if a.dropReply {
		c.GetConn().Close()
		return false
	}
	if a.fail {
		c.JSON(500, cowsliptarget.Refusal{ID: id, Code: "failed", Report: t.report(false)})
		return false
	}
	return true
}

func (t *Target) crash(incarnation int) {
	t.mu.Lock()
	stale := t.incarnation != incarnation
	t.mu.Unlock()
	if stale {
		return
	}
	t.Kill()
	time.AfterFunc(crashDowntime, func() { _ = t.start() })
}

// previousID stores id and returns the ID that the previous call stored, or "other" on
// the first call.
func (t *Target) previousID(id string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.lastID
	t.lastID = id
	if o == "" {
		return "other"
	}
	return o
}

func (t *Target) reply(c *app.RequestContext, v any, double bool) {
	if !double {
		c.JSON(200, v)
		return
	}
	b, _ := json.Marshal(v)
	h := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(b))
	n := c.GetConn()
	for range 2 {
		n.WriteBinary([]byte(h))
		n.WriteBinary(b)
	}
	n.Flush()
	time.Sleep(time.Millisecond)
	n.Close()
}

// items returns the items of a range: one at each multiple of KeyStep, with a text that
// contains the index version.
func items(s cowsliptarget.Search) []cowsliptarget.Item {
	l := []cowsliptarget.Item{}
	for k := (s.Lo + KeyStep - 1) / KeyStep * KeyStep; k < s.Hi; k += KeyStep {
		l = append(l, cowsliptarget.Item{Key: k, Text: fmt.Sprintf("entry %d of index version %d", k, s.IndexVersion)})
	}
	return l
}

// ShardRange returns the key range of shard n of count: lo inclusive, hi exclusive.
func ShardRange(n, count int) (lo, hi uint32) {
	w := func(i int) uint32 { return uint32(uint64(i) * cowsliptarget.KeySpace / uint64(count)) }
	return w(n), w(n + 1)
}
