package cowslipevent_test

import (
	"fmt"
	"testing"
	"time"

	"cowslipflow/cowslipevent"

	"github.com/stretchr/testify/require"
	testclock "k8s.io/utils/clock/testing"
)

var t0 = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func TestRingKeepsTheNewest(t *testing.T) {
	r := cowslipevent.New(cowslipevent.Options{Instance: "e1", Capacity: 3, Clock: testclock.NewFakeClock(t0)})
	for i := range 5 {
		r.Add("kind", fmt.Sprint(i), "")
	}
	var l []string
	for _, e := range r.Events() {
		l = append(l, e.Subject)
	}
	require.Equal(t, []string{"2", "3", "4"}, l)
}

// Events recorded after a message was received sort after those that the sender
// recorded before it sent the message, even if the receiver's clock is behind.
func TestCausalOrderOverClocksThatDiffer(t *testing.T) {
	ahead := cowslipevent.New(cowslipevent.Options{Instance: "ahead", Clock: testclock.NewFakeClock(t0.Add(time.Minute))})
	behind := cowslipevent.New(cowslipevent.Options{Instance: "behind", Clock: testclock.NewFakeClock(t0)})
	ahead.Add("sent", "", "")
	behind.Observe(ahead.Now())
	behind.Add("received", "", "")
	ahead.Observe(behind.Now())
	ahead.Add("answered", "", "")
	var l []string
	for _, e := range cowslipevent.Merge(behind.Events(), ahead.Events()) {
		l = append(l, e.Kind)
	}
	require.Equal(t, []string{"sent", "received", "answered"}, l)
}

func ExampleMerge() {
	a := []cowslipevent.Event{{Stamp: cowslipevent.Stamp{Wall: 1}, Kind: "first"}, {Stamp: cowslipevent.Stamp{Wall: 3}, Kind: "third"}}
	b := []cowslipevent.Event{{Stamp: cowslipevent.Stamp{Wall: 2}, Kind: "second"}}
	for _, e := range cowslipevent.Merge(a, b) {
		fmt.Println(e.Kind)
	}
	// Output:
	// first
	// second
	// third
}
