package cowsliptarget_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// Guards against what has no status and is taken for a response: one that is passed on, one that
// says that the request has not run, and an interim one after which nothing comes.
func TestResponsesWithoutAStatus(t *testing.T) {
	const head = "X-Id: %ID\r\nContent-Length: 2\r\n\r\nok"
	for _, first := range []bool{true, false} {
		for _, line := range []string{
			"HTTP/1.1 000 None", "HTTP/1.1 020 None", "HTTP/1.1 099 None", "HTTP/1.1 +20 None", "HTTP/1.1 -20 None", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
			"HTTP/1.1 600 None", "HTTP/1.1 999 None", "HTTP/1.1 2x0 OK", "HTTP/1.1 two OK", "HTTP/1.1 2 0 OK", "HTTP/1.1  ", "HTTP/1.1 ", "HTTP/1.1", "HTTP/1.1 0x1 None",
			"HTTP/1.1 101 Switching Protocols", "HTTP/2.0 200 OK", "HTTP/9.9 200 OK",
		} {
			for name, rest := range map[string]string{"with bytes after it": head, "without": "X-Id: %ID\r\n\r\n", "refusal": "X-Id: %ID\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"} {
				t.Run(fmt.Sprint(first, "/", line, "/", name), func(t *testing.T) {
					t.Parallel()
					f, script := newForwarder(), []string{line + "\r\n" + rest}
					if !first {
						script = append([]string{okResponse}, script...)
					}
					addr := startScriptedTarget(t, script, []string{okResponse})
					if !first {
						_, o := forward(f, addr, "q0", "body")
						require.Equal(t, cowsliptarget.OK, o)
						time.Sleep(20 * time.Millisecond)
					}
					a, o := forward(f, addr, "q1", "body")
					require.Equal(t, cowsliptarget.Corrupt, o, "at once, not at the deadline")
					require.Zero(t, a.Status)
					_, o = forward(f, addr, "q2", "body")
					require.Equal(t, cowsliptarget.OK, o, "on another connection")
				})
			}
		}
	}
}

// A status without a reason phrase is one, and interim responses come before a final one.
func TestResponsesWithAStatus(t *testing.T) {
	for _, x := range []string{
		"HTTP/1.1 200\r\nX-Id: %ID\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 200 \r\nX-Id: %ID\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.0 200 OK\r\nX-Id: %ID\r\nContent-Length: 2\r\n\r\nok",
		"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + okResponse,
	} {
		a, o := forward(newForwarder(), startScriptedTarget(t, []string{x}), "q1", "body")
		require.Equal(t, cowsliptarget.OK, o, x)
		require.Equal(t, 200, a.Status)
	}
	_, o := forward(newForwarder(), startScriptedTarget(t, []string{"HTTP/1.1 100 Continue\r\n\r\n|close"}), "q1", "body")
	require.Equal(t, cowsliptarget.Lost, o)
}

// Guards against a refusal without a status that is taken for the proof that a record has not run.
func TestRefusalWithoutAStatus(t *testing.T) {
	const refusal = `{"id":"q1","code":"shed"}`
	for status, want := range map[string]cowsliptarget.Outcome{"503": cowsliptarget.Shed, "000": cowsliptarget.Corrupt, "050": cowsliptarget.Corrupt, "600": cowsliptarget.Corrupt, "999": cowsliptarget.Corrupt, "101": cowsliptarget.Corrupt} {
		t.Run(status, func(t *testing.T) {
			c := cowsliptarget.NewClient(cowsliptarget.Options{})
			defer c.Close()
			addr := startScriptedTarget(t, []string{fmt.Sprintf("HTTP/1.1 %s X\r\nContent-Length: %d\r\n\r\n%s", status, len(refusal), refusal)})
			ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
			defer cancel()
			_, _, o := c.Record(ctx, addr, cowsliptarget.Record{ID: "q1", Service: "s", Body: "b"})
			require.Equal(t, want, o)
		})
	}
}
