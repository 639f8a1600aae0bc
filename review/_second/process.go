package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// instance is an entry instance of the project, started with the command of the deploy file.
type instance struct {
	name, zone, dir, front, ready, control string
	cmd                                    *exec.Cmd
	log                                    *os.File
	ended                                  chan struct{} // closed when the process has ended
}

// Ports of instances lie below those that the kernel assigns to outgoing connections, so that
// one stays free until the process that gets it listens.
const (
	firstPort = 21000
	portRange = 9000
)

var lastPort atomic.Int64

// freePorts returns ports that nothing listens on.
func freePorts(n int) ([]int, error) {
	var p []int
	for tries := 0; len(p) < n; tries++ {
		if tries > portRange {
			return nil, errors.New("no free port")
		}
		c := firstPort + int(lastPort.Add(1)+int64(os.Getpid())*64)%portRange
		l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", c))
		if err != nil {
			continue
		}
		if err := l.Close(); err != nil {
			return nil, err
		}
		p = append(p, c)
	}
	return p, nil
}

// startInstance writes the settings file of an instance and starts it. The bounds are those of
// smut-valpo.
func startInstance(dir, name, zone, store string, core int) (*instance, error) {
	p, err := freePorts(4)
	if err != nil {
		return nil, err
	}
	a := func(n int) string { return fmt.Sprint("127.0.0.1:", p[n]) }
	i := &instance{name: name, zone: zone, dir: dir, front: a(0), ready: a(1), control: a(2)}
	f := map[string]any{
		"nodeName": name, "role": "entry", "machineClass": "front", "serves": []string{"front", "control"}, "ip": "127.0.0.1", "zone": zone, "region": "r",
		"zones": map[string]string{"za": "r", "zb": "r"}, "listen": map[string]string{"front": i.front, "readiness": i.ready, "control": i.control},
		"internalPortRange": []int{p[3], p[3]}, "seeds": []string{i.control}, "bootstrap": true, "heartbeatMs": 1200,
		"limits":    map[string]any{"cpuShare": 0.4, "cores": 1, "memoryMb": 284, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "places", "rollout", "platform"},
		"bounds": map[string]any{
			"contactMs": 4000, "ackMs": 5000, "drainMs": 3000, "graceS": 6, "lossSlackMs": 200, "configApplyMs": 3000, "rollbackSlackMs": 250, "outerMs": 12000,
			"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56, "exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000,
		},
		"platform": map[string]any{"address": store, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1 << 20, "ttlMinMs": 1000},
	}
	b, err := json.Marshal(f)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return nil, err
	}
	if i.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	i.cmd = exec.Command("target/cowslipflow", "entry")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "COWSLIPFLOW_NODE_FILE=" + file}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	if err := startOnCore(i.cmd, core); err != nil {
		return nil, err
	}
	i.ended = make(chan struct{})
	go func() {
		_ = i.cmd.Wait()
		close(i.ended)
	}()
	return i, nil
}

// startOnCore starts a command on one processor core, as DEPLOY.md says of the processes of the
// platform. The command inherits the affinity of the thread that starts it.
func startOnCore(c *exec.Cmd, core int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var before, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &before); err != nil {
		return err
	}
	one.Set(core)
	if core >= 0 {
		if err := unix.SchedSetaffinity(0, &one); err != nil {
			return err
		}
	}
	err := c.Start()
	if core >= 0 {
		err = errors.Join(err, unix.SchedSetaffinity(0, &before))
	}
	return err
}

// awaitReady waits until the instance counts as ready.
func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r, err := http.Get("http://" + i.ready + "/ready")
		if err != nil {
			continue
		}
		r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", i.name, limit)
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	// The error is ignored: the process may have ended.
	_ = i.cmd.Process.Signal(s)
}

// kill ends the process at once.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.ended
	i.log.Close()
}
