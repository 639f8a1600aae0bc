package cowslipentry

import (
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowsliproute"

	"github.com/stretchr/testify/require"
)

// When a failure domain is cut off, its callers move to another one, over new
// connections with longer round trips. Their answers must close earlier by the
// round trips that the callers wait for, or they arrive after the latency target.
func TestMarginOfNewConnections(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		target    string
		first     bool
		roundTrip time.Duration
		lag       time.Duration
		want      time.Duration
	}{
		{"90ms", false, 0, 0, 8 * ms},
		{"90ms", false, 2 * ms, 0, 8 * ms},
		{"90ms", true, 2 * ms, 0, 10 * ms},
		{"90ms", false, 6 * ms, 0, 12 * ms},
		{"90ms", true, 6 * ms, 0, 18 * ms},
		{"45ms", false, 2 * ms, 0, 6 * ms},
		{"45ms", true, 6 * ms, 0, 16 * ms},
		{"90ms", false, 2 * ms, 40 * ms, 18 * ms},
		{"90ms", false, 2 * ms, time.Hour, 8*ms + 22500*time.Microsecond},
	} {
		x, err := cowslipconfig.Parse([]byte("[[failureDomains]]\nname='a'\n[[services]]\nname='s'\nkind='narrow'\n[[routes]]\nname='r'\nhost='h'\nprefix='/'\ngather=['s']\nlatencyTarget='" + c.target + "'\n"))
		require.NoError(t, err)
		f := &forward{Entry: &Entry{}, route: cowsliproute.NewRoute(cowsliproute.RouteOptions{Config: x.Routes()[0]}), request: Request{FirstOnConn: c.first, RoundTrip: c.roundTrip}}
		f.lag.observe(c.lag)
		require.Equal(t, c.want, f.replyMargin())
	}
}
