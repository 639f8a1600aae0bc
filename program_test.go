package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cowslipflow/cowslipplatform"

	"github.com/stretchr/testify/require"
)

// waitTimeout limits each wait of these tests. It is generous, since the tests do not
// check speed.
const waitTimeout = 30 * time.Second

var program string

func TestMain(m *testing.M) {
	d, err := os.MkdirTemp("", "cowslipflow")
	if err != nil {
		panic(err)
	}
	program = filepath.Join(d, "cowslipflow")
	if b, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		panic(string(b))
	}
	c := m.Run()
	os.RemoveAll(d)
	os.Exit(c)
}

// process is one run of the program.
type process struct {
	*exec.Cmd
	out  bytes.Buffer
	done chan error
}

func startProgram(t *testing.T, args ...string) *process {
	p := &process{Cmd: exec.Command(program, args...), done: make(chan error, 1)}
	p.Stdout, p.Stderr = &p.out, &p.out
	require.NoError(t, p.Start())
	go func() { p.done <- p.Wait() }()
	t.Cleanup(func() {
		p.Process.Signal(syscall.SIGCONT)
		p.Process.Kill()
	})
	return p
}

// stop sends SIGTERM and returns the result of Wait.
func (p *process) stop(t *testing.T) error {
	require.NoError(t, p.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.done:
		return err
	case <-time.After(waitTimeout):
		t.Fatal("the process did not stop")
		return nil
	}
}

// runProgram runs a subcommand and returns its output and exit code.
func runProgram(args ...string) (string, int) {
	c := exec.Command(program, args...)
	b, _ := c.CombinedOutput()
	return string(b), c.ProcessState.ExitCode()
}

func freeAddr(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// eventually waits until f returns true.
func eventually(t *testing.T, condition string, f func() bool) {
	t.Helper()
	require.Eventually(t, f, waitTimeout, 20*time.Millisecond, condition)
}

// processFleet is an installation whose parts run as processes.
type processFleet struct {
	targets   []cowslipplatform.Instance
	platform  string
	entries   []*process
	callers   []string
	operators []string
}

const entryCount = 7

var testDomains = []string{"cerro", "plan", "puerto"}

const testConfig = `
[[failureDomains]]
name = "cerro"
[[failureDomains]]
name = "plan"
[[failureDomains]]
name = "puerto"

[[services]]
name = "diaries"
kind = "wide"
version = "v1"
shards = 20
warmTime = "1s"
deadline = "5s"

[[services]]
name = "households"
kind = "narrow"
version = "v1"
slots = 4
connections = 40
warmTime = "1s"
deadline = "5s"
`

func startFleet(t *testing.T, entries int) *processFleet {
	f := &processFleet{}
	a := freeAddr(t)
	f.platform = "http://" + a
	startProgram(t, "standin", "platform", "--listen", a)
	eventually(t, "the platform answers", func() bool { return getJSON(f.platform+"/v1/record", &struct{}{}) == nil })
	domains := []string{}
	for _, d := range testDomains {
		domains = append(domains, "--failure-domain", d)
	}
	startProgram(t, append([]string{"standin", "targets", "--platform", f.platform, "--service", "diaries", "--shards", "20"}, domains...)...)
	startProgram(t, append([]string{"standin", "targets", "--platform", f.platform, "--service", "households", "--replicas", "3", "--connections", "40", "--slots", "4"}, domains...)...)
	eventually(t, "the platform lists all targets", func() bool {
		f.targets = nil
		return getJSON(f.platform+"/v1/instances", &f.targets) == nil && len(f.targets) == 43
	})
	for i := range entries {
		f.startEntry(t, i)
	}
	return f
}

func (f *processFleet) startEntry(t *testing.T, i int) *process {
	callers, operators := freeAddr(t), freeAddr(t)
	p := startProgram(t, "--log-level", "info", "entry", "--id", fmt.Sprintf("e%d", i+1), "--failure-domain", testDomains[i%len(testDomains)],
		"--platform", f.platform, "--callers", callers, "--operators", operators, "--peers", freeAddr(t), "--drain-wait", "200ms")
	f.entries = append(f.entries, p)
	f.callers = append(f.callers, "http://"+callers)
	f.operators = append(f.operators, "http://"+operators)
	eventually(t, "the entry instance answers", func() bool {
		r, err := http.Get("http://" + callers + "/v1/ready")
		if err == nil {
			r.Body.Close()
		}
		return err == nil
	})
	return p
}

func (f *processFleet) apply(t *testing.T, config string) {
	n := filepath.Join(t.TempDir(), "services.toml")
	require.NoError(t, os.WriteFile(n, []byte(config), 0o600))
	out, code := runProgram("apply", "--server", f.operators[0], "--by", "test", n)
	require.Equal(t, 0, code, out)
}

func (f *processFleet) awaitReady(t *testing.T) {
	for _, c := range f.callers {
		f.awaitReadyAt(t, c)
	}
}

func (f *processFleet) awaitReadyAt(t *testing.T, url string) {
	eventually(t, "the entry instance is ready", func() bool { return getJSON(url+"/v1/ready", &struct{}{}) == nil })
}

func getJSON(url string, v any) error {
	c := http.Client{Timeout: waitTimeout}
	r, err := c.Get(url)
	if err != nil {
		return err
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", r.StatusCode)
	}
	return json.NewDecoder(r.Body).Decode(v)
}

func TestPathThroughProcesses(t *testing.T) {
	f := startFleet(t, entryCount)
	f.apply(t, testConfig)
	f.awaitReady(t)
	for i, c := range f.callers {
		var out string
		eventually(t, "the answer is complete", func() bool {
			var code int
			out, code = runProgram("query", "--server", c, "--service", "diaries", "household 4711")
			return code == 0
		})
		require.Contains(t, out, "256 items of index version 1, coverage 100.00%", "entry instance %d", i)
	}
	out, code := runProgram("record", "--server", f.callers[0], "--service", "households", "--key", "visit-17", "entry 1")
	require.Equal(t, 0, code, out)
	require.Contains(t, out, "ran once: stored entry 1")
	out, code = runProgram("record", "--server", f.callers[3], "--service", "households", "--key", "visit-17", "entry 1")
	require.Equal(t, 0, code, out)
	require.Contains(t, out, "by an earlier call with this key")
	eventually(t, "the revision is in force on all instances", func() bool {
		out, _ = runProgram("status", "--server", f.operators[2])
		return strings.Contains(out, "revision 1 in force on 7 of 7 entry instances")
	})
	out, code = runProgram("timeline", "--server", f.operators[1], "--kind", "configInForce")
	require.Equal(t, 0, code)
	for i := range entryCount {
		require.Contains(t, out, fmt.Sprintf("e%d ", i+1))
	}
	require.NoError(t, f.entries[6].stop(t), "the exit code must be 0 after SIGTERM")
}

func TestProgramLinksTheCLibrary(t *testing.T) {
	b, err := exec.Command("ldd", program).CombinedOutput()
	require.NoError(t, err, string(b))
	require.Contains(t, string(b), "libc.so")
}

func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.toml")
	require.NoError(t, os.WriteFile(bad, []byte("[[failureDomains]]\nname = \"cerro\"\n[[services]]\nname = \"x\"\nkind = \"wide\"\nshards = 0\ncolour = 1\n"), 0o600))
	for _, c := range []struct {
		name   string
		args   []string
		code   int
		output string
	}{
		{"version", []string{"--version"}, 0, "cowslipflow"},
		{"help", []string{"query", "--help"}, 0, "Example:"},
		{"unknown flag", []string{"status", "--colour"}, 2, "colour"},
		{"missing setting", []string{"entry", "--id", "e1"}, 2, "failure-domain"},
		{"wrong level", []string{"--log-level", "loud", "demo"}, 2, "log-level"},
		{"wrong platform", []string{"entry", "--id", "e1", "--failure-domain", "x", "--platform", "nowhere"}, 2, "--platform"},
		{"wrong text", []string{"check", bad}, 3, "bad.toml:7: services.colour: unknown name"},
		{"no server", []string{"status", "--server", "http://" + freeAddr(t)}, 1, "no answer"},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, code := runProgram(c.args...)
			require.Equal(t, c.code, code, out)
			require.Contains(t, out, c.output)
		})
	}
}
