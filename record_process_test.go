package main_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliprecord"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

func putJSON(t *testing.T, url string, v any) {
	b, err := json.Marshal(v)
	require.NoError(t, err)
	r, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(b))
	require.NoError(t, err)
	p, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	p.Body.Close()
	require.Equal(t, http.StatusOK, p.StatusCode)
}

func (f *processFleet) setPlatformFaults(t *testing.T, x cowslipstandin.PlatformFaults) {
	putJSON(t, f.platform+"/v1/faults", x)
}

// runCount returns how often a record with this body ran.
func (f *processFleet) runCount(body string) int { return f.runCounts()[body] }

// runCounts returns how often each record ran, according to the targets.
func (f *processFleet) runCounts() map[string]int {
	n := map[string]int{}
	for _, i := range f.targets {
		var r cowslipstandin.TargetRecord
		if i.Service != "households" || getJSON("http://"+i.Addr+"/v1/runs", &r) != nil {
			continue
		}
		for _, x := range r.Runs {
			if x.Record && x.Ran {
				n[x.Text]++
			}
		}
	}
	return n
}

func (f *processFleet) claimed(key string) bool {
	var v cowslipplatform.Value
	return getJSON(f.platform+"/v1/kv?key="+cowsliprecord.KeyPrefix+"households/"+key, &v) == nil
}

// startReadyFleet starts a fleet and waits until a record succeeds through each instance.
func startReadyFleet(t *testing.T, entries int) *processFleet {
	f := startFleet(t, entries)
	f.apply(t, testConfig)
	f.awaitReady(t)
	for _, c := range f.callers {
		eventually(t, "a record runs", func() bool {
			_, code := runProgram("record", "--server", c, "--service", "households", "--deadline", "1s", "warm-up")
			return code == 0
		})
	}
	return f
}

// The test kills or freezes an instance after it has claimed a key and before it sends the
// request. A repeat through another instance must not run the record a second time.
func TestInstanceLostBetweenClaimAndSend(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal syscall.Signal
	}{{"killed", syscall.SIGKILL}, {"frozen", syscall.SIGSTOP}} {
		t.Run(c.name, func(t *testing.T) {
			f := startReadyFleet(t, 2)
			f.setPlatformFaults(t, cowslipstandin.PlatformFaults{LoseWrites: 1, Delay: 400 * time.Millisecond, DelayOnly: []string{"e1"}})
			first := startProgram(t, "record", "--server", f.callers[0], "--service", "households", "--deadline", "4s", "--key", "visit", "entry")
			eventually(t, "the key is claimed", func() bool { return f.claimed("visit") })
			require.NoError(t, f.entries[0].Process.Signal(c.signal))
			require.Zero(t, f.runCount("entry"), "the request was sent before the platform confirmed the claim")
			f.setPlatformFaults(t, cowslipstandin.PlatformFaults{})
			out, code := runProgram("record", "--server", f.callers[1], "--service", "households", "--deadline", "1s", "--key", "visit", "entry")
			require.Equal(t, 5, code, out)
			require.Zero(t, f.runCount("entry"))
			f.entries[0].Process.Signal(syscall.SIGCONT)
			<-first.done
			require.LessOrEqual(t, f.runCount("entry"), 1)
			out, _ = runProgram("record", "--server", f.callers[1], "--service", "households", "--deadline", "1s", "--key", "visit", "entry")
			require.LessOrEqual(t, f.runCount("entry"), 1, out)
		})
	}
}

// While the platform is down, a request with a key is refused as not run, and one
// without a key is served. After the outage, the request with the key runs once, although
// it is sent through every instance.
func TestRecordsThroughAPlatformOutage(t *testing.T) {
	f := startReadyFleet(t, 3)
	f.setPlatformFaults(t, cowslipstandin.PlatformFaults{Down: true})
	out, code := runProgram("record", "--server", f.callers[0], "--service", "households", "--deadline", "1s", "--key", "visit", "keyed")
	require.Equal(t, 4, code, out)
	require.Zero(t, f.runCount("keyed"))
	out, code = runProgram("record", "--server", f.callers[1], "--service", "households", "--deadline", "1s", "unkeyed")
	require.Equal(t, 0, code, out)
	require.Equal(t, 1, f.runCount("unkeyed"))
	f.setPlatformFaults(t, cowslipstandin.PlatformFaults{})
	for i := range f.callers {
		out, code = runProgram("record", "--server", f.callers[i], "--service", "households", "--deadline", "4s", "--key", "visit", "keyed")
		require.Equal(t, 0, code, out)
		require.Equal(t, i > 0, strings.Contains(out, "earlier call"), out)
	}
	require.Equal(t, 1, f.runCount("keyed"))
}
