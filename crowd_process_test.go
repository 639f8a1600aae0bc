package main_test

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against clients that open connections and stop halfway in the TLS handshake, until
// the instance has no descriptors left and ends. The limit of descriptors is lowered, so that
// a small crowd is enough.
func TestCrowdOfHalfHandshakes(t *testing.T) {
	const clients, descriptors = 600, 400
	cert, key := writeCertificate(t)
	platform, callers, operators := freeAddr(t), freeAddr(t), freeAddr(t)
	startProgram(t, "standin", "platform", "--listen", platform)
	args := []string{"entry", "--id", "e1", "--failure-domain", "cerro", "--platform", "http://" + platform, "--callers", callers, "--operators", operators, "--peers", freeAddr(t), "--callers-cert", cert, "--callers-key", key, "--operators-cert", cert, "--operators-key", key}
	c := exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s %s", descriptors, program, strings.Join(args, " ")))
	require.NoError(t, c.Start())
	t.Cleanup(func() {
		_ = c.Process.Kill()
		_ = c.Wait()
	})
	ask := func() (string, int) {
		return runProgram("query", "--server", "https://"+callers, "--ca", cert, "--service", "diaries", "x")
	}
	eventually(t, "the instance answers callers", func() bool {
		_, code := ask()
		return code == 4
	})
	// The first bytes of a record that holds a client's first message of 512 bytes.
	hello := append([]byte{0x16, 0x03, 0x01, 0x02, 0x04, 0x01, 0x00, 0x02, 0x00, 0x03, 0x03}, make([]byte, 200)...)
	for range 2 {
		for _, addr := range []string{callers, operators} {
			for range clients / 4 {
				n, err := net.DialTimeout("tcp", addr, 5*time.Second)
				require.NoError(t, err)
				t.Cleanup(func() { n.Close() })
				_, _ = n.Write(hello)
			}
		}
	}
	time.Sleep(time.Second)
	out, code := ask()
	l, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", c.Process.Pid))
	t.Logf("%d descriptors", len(l))
	require.NoError(t, c.Process.Signal(syscall.Signal(0)), "the process lives")
	require.NoError(t, err)
	require.NotEmpty(t, l, "a process that has ended has no descriptors")
	require.Less(t, len(l), descriptors)
	require.Equal(t, 4, code, out)
	require.Contains(t, out, "no configuration is in force yet")
}
