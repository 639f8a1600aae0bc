package cowslipcontrol_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowsliptarget"

	"google.golang.org/protobuf/proto"
)

var targetCounts = []int{100, 1000, 10000, 59000}

// newSizedBench returns a bench with n targets, two replicas per shard.
func newSizedBench(b *testing.B, n int) *bench {
	x := newBench(b, "e1", "cerro")
	x.c.Stored(x.now, accepted(b, 1, text(time.Time{})))
	for i := range n {
		x.list = append(x.list, cowslipplatform.Instance{ID: fmt.Sprint("d", i), Service: "diaries", Addr: fmt.Sprint("addr-d", i), FailureDomain: domains[i%3], Version: "v1"})
	}
	x.c.UpdateTargets(x.now, x.list)
	x.tick()
	w := uint32(max(cowsliptarget.KeySpace/(n/2), 1))
	for i := range n {
		s := uint32(i/2) % (cowsliptarget.KeySpace / w)
		x.c.Reported(x.now, x.view.Target(fmt.Sprint("addr-d", i)), cowsliptarget.Report{Incarnation: "run1", Slots: 2, Holdings: []cowsliptarget.Holding{{IndexVersion: 1, Lo: s * w, Hi: (s + 1) * w}}}, 0)
	}
	x.advance(x.now.Add(15 * time.Second))
	return x
}

// BenchmarkTickIdle measures a tick in which nothing has changed.
func BenchmarkTickIdle(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			x := newSizedBench(b, n)
			b.ReportAllocs()
			for b.Loop() {
				x.now = x.now.Add(time.Millisecond)
				x.c.Tick(x.now)
			}
		})
	}
}

// BenchmarkTickChanged measures a tick after one target has changed its holdings.
func BenchmarkTickChanged(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			x := newSizedBench(b, n)
			h := x.view.Target("addr-d0")
			b.ReportAllocs()
			for i := uint32(0); b.Loop(); i++ {
				x.now = x.now.Add(time.Millisecond)
				x.c.Reported(x.now, h, cowsliptarget.Report{Incarnation: "run1", Holdings: []cowsliptarget.Holding{{IndexVersion: 1, Hi: 1 + i%2}}}, 0)
				x.c.Tick(x.now)
			}
		})
	}
}

// BenchmarkState measures building the message for a peer. It also reports the
// bytes of the first message, which has all rows, and of one without changes.
func BenchmarkState(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			x := newSizedBench(b, n)
			x.peerAnswers("e2", "plan", 1, 0)
			full := proto.Size(x.c.State(x.now, "e2"))
			s := x.c.State(x.now, "e2")
			s.Id, s.HaveSeq = "e2", s.GetSeq()
			x.c.Message(x.now, x.now, s)
			for b.Loop() {
				s = x.c.State(x.now, "e2")
			}
			b.ReportMetric(float64(full), "B/first")
			b.ReportMetric(float64(proto.Size(s)), "B/idle")
		})
	}
}

// BenchmarkMemory reports the heap bytes of a Control per target.
func BenchmarkMemory(b *testing.B) {
	for _, n := range targetCounts {
		b.Run(fmt.Sprint(n, " targets"), func(b *testing.B) {
			var before, after runtime.MemStats
			var x *bench
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				x = newSizedBench(b, n)
				x.list = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/target")
			runtime.KeepAlive(x)
		})
	}
}

// BenchmarkMessage measures handling the message of a peer at an instance with n
// known members.
func BenchmarkMessage(b *testing.B) {
	for _, n := range []int{7, 100, 1000, 5000} {
		b.Run(fmt.Sprint(n, " members"), func(b *testing.B) {
			x := newSizedBench(b, 100)
			var l []cowslipcontrol.Member
			for i := range n {
				l = append(l, cowslipcontrol.Member{ID: fmt.Sprint("e", i+2), Addr: fmt.Sprint("127.0.0.1:", i)})
			}
			x.c.UpdateMembers(x.now, l)
			s := x.c.State(x.now, "e2")
			s.Id = "e2"
			for b.Loop() {
				x.c.Message(x.now, x.now, s)
			}
			b.ReportMetric(float64(proto.Size(s)), "B/message")
		})
	}
}
