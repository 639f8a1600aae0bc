package cowslipentry

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"cowslipflow/cowslipadmission"
	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	clocktesting "k8s.io/utils/clock/testing"
)

const admitConfig = `
[[failureDomains]]
name = "cerro"
[[services]]
name = "ledger"
kind = "narrow"
[[routes]]
name = "write"
host = "ledger.example"
prefix = "/"
service = "ledger"
latencyTarget = "100ms"
timeout = "400ms"
`

// newForwardingEntry returns an instance that forwards requests for ledger.example to one
// target, which states a slowdown or not, and the number of requests that the target got.
func newForwardingEntry(t *testing.T, slowdown float64) (*Entry, *clocktesting.FakeClock, *atomic.Int64) {
	c := clocktesting.NewFakeClock(time.Date(2026, 12, 6, 20, 0, 0, 0, time.UTC))
	var got atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got.Add(1)
		w.Header().Set("X-Id", "r")
	}))
	t.Cleanup(s.Close)
	e, err := New(Options{
		ID: "e1", FailureDomain: "cerro", Callers: listen(t), Operators: listen(t), Peers: listen(t),
		Store: cowslipstandin.NewPlatform(nil).Store("e1"), Clock: c, Log: slog.New(slog.DiscardHandler),
		Wire: Wire{
			IDHeader: "X-Id",
			Prepare:  func(http.Header, string, string, time.Duration) {},
			ParseResponse: func(cowsliptarget.Response) ResponseInfo {
				return ResponseInfo{Report: cowsliptarget.Report{Slots: 2, Slowdown: slowdown}}
			},
		},
	})
	require.NoError(t, err)
	t.Cleanup(func() {
		e.cancel()
		e.forwarder.Sweep(time.Now().Add(time.Hour))
		e.pool.Release()
		for _, l := range []interface{ Close() error }{e.opts.Callers, e.opts.Operators, e.opts.Peers} {
			l.Close()
		}
	})
	f, err := cowslipconfig.Parse([]byte(admitConfig))
	require.NoError(t, err)
	h := cowsliproute.NewTarget(cowsliproute.TargetInfo{ID: "t1", Addr: strings.TrimPrefix(s.URL, "http://"), Service: "ledger", FailureDomain: "cerro", Slots: 2})
	h.SetLimit(10)
	k := f.Services()[0]
	v := cowsliproute.NewService(cowsliproute.ServiceOptions{
		Config: k, Budget: &cowsliproute.Budget{},
		Snapshots: []cowsliproute.Snapshot{{IndexVersion: 1, Shards: []cowsliproute.Shard{{Hi: 1, Replicas: []*cowsliproute.Target{h}}}}},
	})
	r := cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: f.Routes()[0]})
	e.view.Store(cowsliproute.NewView(cowsliproute.ViewOptions{
		Revision: 1, FailureDomain: "cerro", Config: f, Services: map[string]*cowsliproute.Service{"ledger": v}, Routes: cowsliproute.NewTable([]*cowsliproute.Route{r}),
	}))
	return e, c, &got
}

// A refusal under overload must come before anything is sent, be told as not run, and name a
// time to come back. A pool whose targets state no slowdown must refuse nothing.
func TestRefusedRequestsAreNotSent(t *testing.T) {
	for _, x := range []struct {
		name     string
		slowdown float64
		refuses  bool
	}{{"stated", 1.2, true}, {"not stated", 0, false}} {
		t.Run(x.name, func(t *testing.T) {
			e, c, got := newForwardingEntry(t, x.slowdown)
			q := Request{ID: "r", Method: "GET", Host: "ledger.example", Path: "/", URI: "/", Header: http.Header{}}
			require.Equal(t, ReplyTarget, e.Forward(t.Context(), q).Kind)
			p := e.admissions.pool(e.clock.Now(), "write", []string{"ledger"})
			// Evidence of the last seconds: most parts were shed.
			for range 30 {
				c.Step(100 * time.Millisecond)
				if x.refuses {
					p.Admit(c.Now(), cowslipadmission.Request{})
				}
				p.Ended(c.Now(), cowslipadmission.Result{Parts: 20, Shed: 18})
			}
			sent, refused := got.Load(), 0
			for range 20 {
				r := e.Forward(t.Context(), q)
				if r.Kind == ReplyNotRun {
					refused++
					require.GreaterOrEqual(t, r.RetryAfter, 50*time.Millisecond)
					continue
				}
				require.Equal(t, ReplyTarget, r.Kind)
			}
			require.Equal(t, int64(20-refused), got.Load()-sent, "requests sent")
			require.Equal(t, x.refuses, refused > 10, "%d refused", refused)
			require.Equal(t, int64(refused), e.metrics.refusedForLoad.Value())
			require.Equal(t, x.refuses, e.admissions.status(e.clock.Now())["ledger"].Limited)
		})
	}
}
