package cowslipentry

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowslipworkspace"

	"github.com/stretchr/testify/require"
)

const (
	workspaceRoutes = `
failureDomains = [{name = "cerro"}]
services = [{name = "s", kind = "narrow"}]
routes = [{name = "closed", host = "h", prefix = "/closed/", service = "s", priority = 7}, {name = "open", host = "h", prefix = "/open/", service = "s", public = true}]
`
	twoWorkspaces = `workspaces = [{name = "ralo620", keys = ["secret-1"], priority = 0}, {name = "acme", keys = ["secret-2"]}]`
)

func viewOf(t *testing.T, text string) *cowsliproute.View {
	c, err := cowslipconfig.Parse([]byte(text))
	require.NoError(t, err)
	var l []*cowsliproute.Route
	for _, r := range c.Routes() {
		l = append(l, cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: r}))
	}
	return cowsliproute.NewView(cowsliproute.ViewOptions{Revision: 1, Config: c, Routes: cowsliproute.NewTable(l), Workspaces: cowslipworkspace.NewDirectory(c)})
}

// Guards against a request that is served without a key, refused with one, attributed to
// another workspace, or refused in the wrong way; and against a key in the log.
func TestRequestsAreIdentified(t *testing.T) {
	const refusedNotRun = "the configuration has changed"
	for _, c := range []struct {
		name      string
		text      string
		path      string
		request   Request
		kind      ReplyKind // empty if the request goes on
		workspace string
		priority  int
	}{
		{"key", twoWorkspaces, "/closed/x", Request{Key: "secret-1"}, "", "ralo620", 0},
		{"key of a workspace without a priority", twoWorkspaces, "/closed/x", Request{Key: "secret-2"}, "", "acme", 7},
		{"a caller does not choose its workspace", twoWorkspaces, "/closed/x", Request{workspace: "acme"}, ReplyUnauthorized, "", 7},
		{"public route, no key", twoWorkspaces, "/open/x", Request{}, "", "", 0},
		{"no workspaces", "", "/closed/x", Request{Key: "secret-1"}, "", "", 7},
		{"all workspaces invalid", "requireKey = true\n", "/closed/x", Request{Key: "secret-1"}, ReplyUnauthorized, "", 7},
		{"relayed", twoWorkspaces, "/closed/x", Request{relayed: true, workspace: "ralo620"}, "", "ralo620", 0},
		{"relayed, workspace gone", twoWorkspaces, "/closed/x", Request{relayed: true, workspace: "gone"}, ReplyNotRun, "", 7},
		{"relayed before there were workspaces", twoWorkspaces, "/closed/x", Request{relayed: true}, ReplyNotRun, "", 7},
		{"relayed, all workspaces gone", "", "/closed/x", Request{relayed: true, workspace: "ralo620"}, "", "", 7},
		{"relayed, public", twoWorkspaces, "/open/x", Request{relayed: true}, "", "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e, clock := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"))
			var log bytes.Buffer
			e.log = slog.New(slog.NewJSONHandler(&log, nil))
			f := &forward{Entry: e, request: c.request, view: viewOf(t, c.text+workspaceRoutes), start: clock.Now()}
			f.route = f.view.Route("h", c.path)
			x, ok := f.identify()
			require.Equal(t, c.kind == "", ok)
			require.Equal(t, c.kind, x.Kind)
			require.Equal(t, c.workspace, f.workspaceName())
			require.Equal(t, c.priority, f.priority())
			if c.kind == ReplyNotRun {
				require.Contains(t, x.Reason, refusedNotRun)
				require.Positive(t, x.RetryAfter)
			}
			require.NotContains(t, log.String()+x.Reason+e.metrics.vars.String(), "secret")
			require.Equal(t, fmt.Sprint(map[bool]int{true: 1}[c.kind == ReplyUnauthorized]), e.metrics.unauthorized.String())
		})
	}
}

// Guards against answers that tell a caller that its key is wrong while the instance knows
// no keys yet, or that hide a missing route behind the key.
func TestOrderOfRefusals(t *testing.T) {
	e, _ := newStillEntry(t, "e1", cowslipstandin.NewPlatform(nil).Store("e1"))
	e.view.Store(cowsliproute.NewView(cowsliproute.ViewOptions{}))
	require.Equal(t, ReplyNotRun, e.Forward(t.Context(), Request{Host: "h", Path: "/closed/x"}).Kind)
	e.view.Store(viewOf(t, twoWorkspaces+workspaceRoutes))
	require.Equal(t, ReplyNoRoute, e.Forward(t.Context(), Request{Host: "h", Path: "/none/x"}).Kind)
	require.Equal(t, ReplyUnauthorized, e.Forward(t.Context(), Request{Host: "h", Path: "/closed/x"}).Kind)
}

// Guards against counters without a bound where a deployment has thousands of workspaces.
func TestWorkspaceMetricsAreBounded(t *testing.T) {
	const workspaces = 2 * maxTrackedWorkspaces
	var m workspaceTable
	for i := range workspaces {
		m.observe("busy", ReplyTarget)
		m.observe(fmt.Sprint("w", i), ReplyNotRun)
	}
	s := m.snapshot()
	require.Len(t, s, maxWorkspaceMetrics+1)
	require.EqualValues(t, workspaces, s["busy"][ReplyTarget])
	require.EqualValues(t, workspaces-maxWorkspaceMetrics+1, s[otherWorkspaces][ReplyNotRun])
	require.LessOrEqual(t, len(m.workspaces), maxTrackedWorkspaces)
}
