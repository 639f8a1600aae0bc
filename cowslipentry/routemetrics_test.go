package cowslipentry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRouteMetrics(t *testing.T) {
	var x routeTable
	x.observe("search", Reply{Kind: ReplyGathered, Missing: 2}, 90*time.Millisecond, 20, 23)
	x.observe("search", Reply{Kind: ReplyNotRun}, 0, 20, 0)
	x.observe("lookup", Reply{Kind: ReplyTarget}, 8*time.Millisecond, 1, 1)
	b, err := json.Marshal(x.snapshot())
	require.NoError(t, err)
	require.JSONEq(t, `{
		"search": {"outcomes": {"gathered": 1, "notRun": 1}, "partsNeeded": 40, "partsMissing": 2, "sent": 23, "upToMillis": {"128": 1, "1": 1}},
		"lookup": {"outcomes": {"target": 1}, "partsNeeded": 1, "partsMissing": 0, "sent": 1, "upToMillis": {"16": 1}}
	}`, string(b))
}

// A configuration with very many routes must not let the metrics grow without
// bound, and requests of every route must still be counted.
func TestRouteMetricsAreBounded(t *testing.T) {
	var x routeTable
	for i := range 3 * maxRouteMetrics {
		x.observe(fmt.Sprint("r", i), Reply{Kind: ReplyTarget}, time.Millisecond, 1, 1)
	}
	c := x.snapshot()
	require.Len(t, c, maxRouteMetrics+1)
	require.EqualValues(t, 2*maxRouteMetrics, c[otherRoutes].Outcomes[ReplyTarget])
}
