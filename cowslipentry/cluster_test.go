package cowslipentry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipentry"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipstandin"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

// waitTimeout limits each wait. It is generous, so it checks no speed requirement.
const waitTimeout = 20 * time.Second

// maxReactionTime is the bound wherever the product guarantees a reaction within "a
// few seconds".
const maxReactionTime = 5 * time.Second

func TestMain(m *testing.M) {
	log.SetOutput(io.Discard) // net/http logs duplicated answers
	goleak.VerifyTestMain(m,
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).purgeStaleWorkers"),
		goleak.IgnoreTopFunction("github.com/panjf2000/ants/v2.(*poolCommon).ticktock"),
		// One goroutine per process updates the Date header and never ends.
		goleak.IgnoreAnyFunction("github.com/cloudwego/hertz/pkg/protocol.UpdateServerDate.func1"),
	)
}

var domains = []string{"cerro", "plan", "puerto"}

// wideServiceConfig is the beginning of a configuration: the failure domains and a
// wide service, whose other settings are appended.
const wideServiceConfig = `
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
shards = 8
`

// cluster is an installation that runs in the test's process, with a stand-in for
// the platform.
type cluster struct {
	t        *testing.T
	platform *cowslipstandin.Platform
	targets  []*cowslipstandin.Target
	nodes    []*node
	links    *links
}

// node is one entry instance.
type node struct {
	id, domain         string
	callers, operators string
	peers              string
	stop               context.CancelFunc
	done               chan error
}

func newCluster(t *testing.T) *cluster {
	c := &cluster{t: t, platform: cowslipstandin.NewPlatform(nil), links: &links{cut: map[string]bool{}, nodes: map[string]string{}}}
	t.Cleanup(c.close)
	return c
}

func (c *cluster) close() {
	c.links.heal()
	c.platform.SetFaults(cowslipstandin.PlatformFaults{})
	for _, n := range c.nodes {
		n.stop()
	}
	for _, n := range c.nodes {
		<-n.done
	}
	for _, x := range c.targets {
		x.Kill()
	}
	http.DefaultClient.CloseIdleConnections()
}

// addTargets starts replicas of a service's shards and lists them on the platform.
func (c *cluster) addTargets(o cowslipstandin.TargetOptions, shards, replicas int, indexVersion uint64) []*cowslipstandin.Target {
	var l []*cowslipstandin.Target
	for s := range shards {
		lo, hi := cowslipstandin.ShardRange(s, shards)
		for r := range replicas {
			x := o
			x.ID = fmt.Sprintf("%s-%s-%d-%d", o.Service, o.Version, s, r)
			x.FailureDomain = domains[(s+r)%len(domains)]
			x.Holdings = []cowsliptarget.Holding{{IndexVersion: indexVersion, Lo: lo, Hi: hi}}
			x.Seed = uint64(len(c.targets))
			t, err := cowslipstandin.StartTarget("127.0.0.1:0", x)
			require.NoError(c.t, err)
			c.targets = append(c.targets, t)
			l = append(l, t)
			c.listTarget(t, false)
		}
	}
	return l
}

func (c *cluster) listTarget(t *cowslipstandin.Target, leaving bool) {
	o := t.Options()
	c.platform.SetInstance(cowslipplatform.Instance{ID: o.ID, Service: o.Service, Addr: t.Addr(), FailureDomain: o.FailureDomain, Version: o.Version, Leaving: leaving})
}

func (c *cluster) addNode(change ...func(*cowslipentry.Options)) *node {
	i := len(c.nodes)
	n := &node{id: fmt.Sprintf("e%d", i+1), domain: domains[i%len(domains)], done: make(chan error, 1)}
	listen := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(c.t, err)
		return l
	}
	o := cowslipentry.Options{ID: n.id, FailureDomain: n.domain, Callers: listen(), Operators: listen(), Peers: listen(), Store: c.platform.Store(n.id), DrainWait: 100 * time.Millisecond}
	for _, f := range change {
		f(&o)
	}
	n.callers, n.operators, n.peers = "http://"+o.Callers.Addr().String(), "http://"+o.Operators.Addr().String(), o.Peers.Addr().String()
	o.Dial = c.links.dialer(n.id)
	c.links.register(n.peers, n.id)
	e, err := cowslipentry.New(o)
	require.NoError(c.t, err)
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	go func() { n.done <- e.Run(ctx) }()
	c.nodes = append(c.nodes, n)
	return n
}

// start adds nodes, applies a configuration through the first one and waits until all
// are ready.
func (c *cluster) start(nodes int, config string) {
	for range nodes {
		c.addNode()
	}
	c.apply(0, config)
	for _, n := range c.nodes {
		c.eventually("ready", func() bool { return call(n.callers, "GET", "/v1/ready", nil, nil) == 200 })
	}
}

func (c *cluster) apply(node int, config string) cowslipentry.ApplyAnswer {
	var a cowslipentry.ApplyAnswer
	var s int
	c.eventually("configuration applied", func() bool {
		s = call(c.nodes[node].operators, "POST", "/v1/config", cowslipentry.ApplyRequest{Text: config, By: "test"}, &a)
		return s != 0
	})
	require.Equal(c.t, 200, s)
	return a
}

func (c *cluster) status(node int) cowslipcontrol.Status {
	var s cowslipcontrol.Status
	call(c.nodes[node].operators, "GET", "/v1/status", nil, &s)
	return s
}

func (c *cluster) timeline(node int) cowslipentry.Timeline {
	var l cowslipentry.Timeline
	require.Equal(c.t, 200, call(c.nodes[node].operators, "GET", "/v1/timeline", nil, &l))
	return l
}

func (c *cluster) query(node int, service string, deadline time.Duration) (cowslipentry.QueryAnswer, int) {
	return c.nodes[node].query(service, deadline)
}

func (n *node) query(service string, deadline time.Duration) (cowslipentry.QueryAnswer, int) {
	var a cowslipentry.QueryAnswer
	s := call(n.callers, "POST", "/v1/query", cowslipentry.QueryRequest{Service: service, Query: "household 4711", DeadlineMillis: deadline.Milliseconds()}, &a)
	return a, s
}

// awaitComplete waits until each node gives a complete answer to a query to the
// service.
func (c *cluster) awaitComplete(service string) {
	for i := range c.nodes {
		c.eventually("complete answer", func() bool {
			a, s := c.query(i, service, time.Second)
			return s == 200 && a.Complete
		})
	}
}

func (c *cluster) eventually(what string, f func() bool) {
	c.t.Helper()
	require.Eventually(c.t, f, waitTimeout, 10*time.Millisecond, what)
}

// call sends a JSON request, decodes an answer with status 200 into out, and returns
// the status. It returns 0 if there was no valid answer.
func call(base, method, path string, in, out any) int {
	var body io.Reader
	if in != nil {
		b, _ := json.Marshal(in)
		body = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, base+path, body)
	if err != nil {
		return 0
	}
	p, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer p.Body.Close()
	b, err := io.ReadAll(p.Body)
	if err != nil {
		return 0
	}
	if out != nil && p.StatusCode == 200 {
		if err := json.Unmarshal(b, out); err != nil {
			return 0
		}
	}
	return p.StatusCode
}

// links are the connections between entry instances. They can be cut silently:
// connections stay open, but transfer no data.
type links struct {
	mu    sync.Mutex
	cut   map[string]bool   // IDs of the entry instances that are cut off from all others
	nodes map[string]string // IDs of the entry instances by the address of their peer server
	conns []*link
}

// link is a connection between two entry instances.
type link struct {
	net.Conn
	owner    *links
	from, to string
}

func (l *links) register(addr, id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[addr] = id
}

func (l *links) nodeAt(addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.nodes[addr]
}

func (l *links) isCut(from, to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return to != "" && (l.cut[from] || l.cut[to])
}

// isolate cuts entry instances off from all others.
func (l *links) isolate(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range ids {
		l.cut[i] = true
	}
}

// heal ends all cuts and closes the connections that were cut.
func (l *links) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		if l.cut[c.from] || l.cut[c.to] {
			c.Conn.Close()
		}
	}
	clear(l.cut)
}

func (l *links) dialer(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		to := l.nodeAt(addr)
		if l.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		n, err := new(net.Dialer).DialContext(ctx, network, addr)
		if err != nil || to == "" {
			return n, err
		}
		k := &link{Conn: n, owner: l, from: from, to: to}
		l.mu.Lock()
		l.conns = append(l.conns, k)
		l.mu.Unlock()
		return k, nil
	}
}

// Read drops data that arrives while the link is cut.
func (k *link) Read(b []byte) (int, error) {
	for {
		n, err := k.Conn.Read(b)
		if err != nil || !k.owner.isCut(k.from, k.to) {
			return n, err
		}
	}
}

// Write drops data while the link is cut.
func (k *link) Write(b []byte) (int, error) {
	if k.owner.isCut(k.from, k.to) {
		return len(b), nil
	}
	return k.Conn.Write(b)
}
