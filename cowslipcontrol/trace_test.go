package cowslipcontrol_test

import (
	"bufio"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliproute"
	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

// A fixed seed makes the property tests draw the same cases in every run.
func init() { flag.Set("rapid.seed", "1") }

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const tick = 100 * time.Millisecond

const baseText = `
[[services]]
name = "diaries"
kind = "wide"
version = "v1"
shards = 2
slots = 2
connections = 25
warmTime = "10s"
coldSlots = 1
[[services]]
name = "households"
kind = "narrow"
version = "v1"
slots = 4
connections = 40
warmTime = "10s"
coldSlots = 3
`

var domains = []string{"cerro", "plan", "puerto"}

// text returns baseText with the failure domains in out taken out and, if by is not
// zero, a move of diaries to v2.
func text(by time.Time, out ...string) string {
	var b strings.Builder
	for _, d := range domains {
		s := "in"
		if slices.Contains(out, d) {
			s = "out"
		}
		fmt.Fprintf(&b, "[[failureDomains]]\nname = %q\nstate = %q\n", d, s)
	}
	b.WriteString(baseText)
	if !by.IsZero() {
		fmt.Fprintf(&b, "[[moves]]\nservice = \"diaries\"\nto = \"v2\"\nby = %s\n", by.Format(time.RFC3339))
	}
	return b.String()
}

// accepted returns a configuration with the given revision, accepted at t0.
func accepted(t require.TestingT, revision uint64, text string) cowslipcontrol.Accepted {
	c, err := cowslipconfig.Parse([]byte(text))
	require.NoError(t, err)
	a := cowslipcontrol.Accepted{Revision: revision - 1}.Next(text, c, fmt.Sprint("edit", revision), "test", t0)
	return a
}

// bench drives a Control over a virtual clock.
type bench struct {
	t       require.TestingT
	now     time.Time
	c       *cowslipcontrol.Control
	view    *cowsliproute.View
	effects cowslipcontrol.Effects // accumulated until a trace line checks them
	events  []string               // kind and subject of each
	list    []cowslipplatform.Instance
	members []cowslipcontrol.Member
}

func newBench(t require.TestingT, id, domain string) *bench {
	b := &bench{t: t, now: t0}
	b.c = cowslipcontrol.New(cowslipcontrol.Options{ID: id, FailureDomain: domain, Event: func(kind, subject, _ string) {
		b.events = append(b.events, kind+" "+subject)
	}}, b.now)
	return b
}

// advance ticks until the virtual clock reaches a time.
func (b *bench) advance(to time.Time) {
	for b.now.Before(to) {
		b.now = b.now.Add(tick)
		b.tick()
	}
}

func (b *bench) tick() {
	v, x := b.c.Tick(b.now)
	b.view = v
	b.effects.Repair = b.effects.Repair || x.Repair
	b.effects.Push = b.effects.Push || x.Push
	b.effects.Outcomes = append(b.effects.Outcomes, x.Outcomes...)
}

func (b *bench) target(id string) *cowsliproute.Target {
	for _, s := range []string{"diaries", "households"} {
		v := b.view.Service(s)
		if v == nil {
			continue
		}
		for _, n := range v.Snapshots() {
			for _, p := range n.Shards {
				for _, t := range p.Replicas {
					if t.Info().ID == id {
						return t
					}
				}
			}
		}
	}
	return b.view.Target("addr-" + id)
}

// addTarget lists a target. The last digit of its ID is its shard.
func (b *bench) addTarget(id, service, domain, version string) {
	b.list = append(b.list, cowslipplatform.Instance{ID: id, Service: service, Addr: "addr-" + id, FailureDomain: domain, Version: version})
	b.c.UpdateTargets(b.now, b.list)
	b.tick()
}

func (b *bench) report(id, incarnation string, change ...func(*cowsliptarget.Report)) {
	r := cowsliptarget.Report{Incarnation: incarnation, Slots: 2, Holdings: []cowsliptarget.Holding{holding(id)}}
	for _, f := range change {
		f(&r)
	}
	b.c.Reported(b.now, b.target(id), r, b.target(id).Suspension())
	b.tick()
}

func holding(id string) cowsliptarget.Holding {
	if strings.HasPrefix(id, "h") {
		return cowsliptarget.Holding{IndexVersion: 1, Hi: cowsliptarget.KeySpace}
	}
	n, _ := strconv.Atoi(id[len(id)-1:])
	w := uint32(cowsliptarget.KeySpace / 2)
	return cowsliptarget.Holding{IndexVersion: 1, Lo: uint32(n) * w, Hi: uint32(n+1) * w}
}

// peerAnswers simulates an exchange that a peer answers immediately.
func (b *bench) peerAnswers(id, domain string, revision uint64, confirmedAge time.Duration, change ...func(*cowslipmessage.State)) {
	s := &cowslipmessage.State{Id: id, FailureDomain: domain, Incarnation: id, Addr: "addr-" + id, Revision: revision, ConfirmedAgeMillis: confirmedAge.Milliseconds()}
	if confirmedAge < 0 {
		s.ConfirmedAgeMillis = -1
	}
	for _, f := range change {
		f(s)
	}
	b.c.Message(b.now, b.now, s)
}

// TestTraces replays the traces in testdata; traces.md there describes the format.
func TestTraces(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		t.Run(strings.TrimSuffix(filepath.Base(f), ".trace"), func(t *testing.T) { replay(t, f) })
	}
}

func replay(t *testing.T, file string) {
	f, err := os.Open(file)
	require.NoError(t, err)
	defer f.Close()
	var b *bench
	for n, s := 1, bufio.NewScanner(f); s.Scan(); n++ {
		l, _, _ := strings.Cut(s.Text(), "#")
		w := strings.Fields(l)
		if len(w) == 0 {
			continue
		}
		at, err := time.ParseDuration(w[0])
		require.NoError(t, err, "%s:%d", file, n)
		if b == nil {
			b = newBench(t, w[2], w[3])
			continue
		}
		if w[1] == "wake" {
			b.now = t0.Add(at)
			b.tick()
			continue
		}
		b.advance(t0.Add(at))
		require.True(t, b.execute(w[1], w[2:]), "%s:%d: %s", file, n, s.Text())
	}
}

// execute executes one line of a trace. It reports whether the verb is known and, for
// an expect line, whether the expectation holds.
func (b *bench) execute(verb string, w []string) bool {
	number := func(i int) int {
		n, err := strconv.Atoi(w[i])
		require.NoError(b.t, err)
		return n
	}
	switch verb {
	case "stored": // REVISION [out DOMAIN...]
		var out []string
		if len(w) > 1 {
			out = w[2:]
		}
		b.c.Stored(b.now, accepted(b.t, uint64(number(0)), text(time.Time{}, out...)))
	case "stored-none":
		b.c.Stored(b.now, cowslipcontrol.Accepted{})
	case "platform-fails":
		b.c.PlatformFailed()
	case "member": // ID DOMAIN
		b.members = append(b.members, cowslipcontrol.Member{ID: w[0], FailureDomain: w[1], Addr: "addr-" + w[0]})
		b.c.UpdateMembers(b.now, b.members)
	case "answers": // ID DOMAIN REVISION CONFIRMED-AGE|never
		age, err := time.ParseDuration(w[3])
		if err != nil {
			age = -1
		}
		b.peerAnswers(w[0], w[1], uint64(number(2)), age)
	case "sends": // ID DOMAIN REVISION, an exchange that the peer began
		b.c.Message(b.now, time.Time{}, &cowslipmessage.State{Id: w[0], FailureDomain: w[1], Incarnation: w[0], Revision: uint64(number(2))})
	case "brings": // ID DOMAIN REVISION [out DOMAIN...], a peer with a configuration
		a, err := accepted(b.t, uint64(number(2)), text(time.Time{}, w[min(4, len(w)):]...)).Encode()
		require.NoError(b.t, err)
		b.peerAnswers(w[0], w[1], uint64(number(2)), 0, func(s *cowslipmessage.State) { s.Accepted = a })
	case "refused": // ID
		b.c.PeerFailed(b.now, w[0], true)
	case "silent": // ID
		b.c.PeerFailed(b.now, w[0], false)
	case "target": // ID SERVICE DOMAIN VERSION
		b.addTarget(w[0], w[1], w[2], w[3])
	case "unlist": // ID
		b.list = slices.DeleteFunc(b.list, func(i cowslipplatform.Instance) bool { return i.ID == w[0] })
		b.c.UpdateTargets(b.now, b.list)
	case "reports": // ID INCARNATION [cold] [leaving]
		b.report(w[0], w[1], func(r *cowsliptarget.Report) {
			r.Cold = slices.Contains(w, "cold")
			r.Leaving = slices.Contains(w, "leaving")
		})
	case "row": // PEER DOMAIN ID INCARNATION AGE [cold] [leaving]
		age, err := time.ParseDuration(w[4])
		require.NoError(b.t, err)
		b.peerAnswers(w[0], w[1], 1, -1, func(s *cowslipmessage.State) {
			s.Targets = []*cowslipmessage.TargetRow{{Id: w[2], Incarnation: w[3], AgeMillis: age.Milliseconds(), Cold: slices.Contains(w, "cold"), Leaving: slices.Contains(w, "leaving")}}
		})
	case "ends": // ID OUTCOME LATENCY
		d, err := time.ParseDuration(w[2])
		require.NoError(b.t, err)
		b.c.Observe(cowslipcontrol.Sample{Target: b.target(w[0]), Route: "search", Outcome: outcome(w[1]), Latency: d, At: b.now})
		if outcome(w[1]) == cowsliptarget.OK {
			b.target(w[0]).ObserveLatency(d)
		}
	case "leave":
		b.c.Leave()
	case "disconnected": // ID
		b.target(w[0]).Suspend()
	case "expect":
		b.tick()
		return b.expect(w)
	default:
		return false
	}
	b.tick()
	return true
}

func (b *bench) expect(w []string) bool {
	switch w[0] {
	case "scope":
		return b.c.Status(b.now).Scope == w[1]
	case "revision":
		return fmt.Sprint(b.c.Accepted().Revision) == w[1]
	case "limit": // ID N
		x := b.target(w[1])
		n := x.Limit()
		if x.Suspension() != 0 || x.Leaving() {
			n = 0
		}
		return fmt.Sprint(n) == w[2]
	case "event":
		return slices.Contains(b.events, strings.Join(w[1:], " ")) || len(w) == 2 && slices.ContainsFunc(b.events, func(e string) bool { return strings.HasPrefix(e, w[1]+" ") })
	case "no-event":
		return !slices.ContainsFunc(b.events, func(e string) bool { return strings.HasPrefix(e, w[1]) })
	case "repair":
		r := b.effects.Repair
		b.effects.Repair = false
		return r
	case "push":
		p := b.effects.Push
		b.effects.Push = false
		return p
	}
	return false
}

func outcome(name string) cowsliptarget.Outcome {
	for o := cowsliptarget.OK; o <= cowsliptarget.Cancelled; o++ {
		if o.String() == name {
			return o
		}
	}
	return cowsliptarget.Failed
}
