package cowslipcontrol_test

import (
	"testing"
	"time"

	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// FuzzMessage checks that no message from a peer, however malformed, causes a
// panic or lowers the revision in force.
func FuzzMessage(f *testing.F) {
	a, err := accepted(f, 3, text(time.Time{}, "plan")).Encode()
	require.NoError(f, err)
	s := &cowslipmessage.State{
		Id: "e2", Revision: 3, Accepted: a, Members: []*cowslipmessage.Member{{Id: "e3"}},
		Targets:  []*cowslipmessage.TargetRow{{Id: "d0", Incarnation: "run2", AgeMillis: -5}},
		Evidence: []*cowslipmessage.Evidence{{Move: "m", Latencies: make([]uint64, 99)}},
		Crashes:  []*cowslipmessage.Crash{{Fingerprint: 7}}, Stops: []*cowslipmessage.Stop{{}}, Outcomes: []*cowslipmessage.Outcome{{}},
	}
	b, err := proto.Marshal(s)
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		var s cowslipmessage.State
		if proto.Unmarshal(b, &s) != nil {
			return
		}
		x := newBench(t, "e1", "cerro")
		x.c.Stored(x.now, accepted(t, 2, text(time.Time{})))
		x.addTarget("d0", "diaries", "cerro", "v1")
		x.report("d0", "run1")
		x.c.Message(x.now, x.now, &s)
		x.advance(x.now.Add(time.Second))
		require.GreaterOrEqual(t, x.c.Accepted().Revision, uint64(2))
	})
}

// FuzzDecodeAccepted checks that any stored bytes are either decoded, to a value
// that can be encoded again, or rejected with an error.
func FuzzDecodeAccepted(f *testing.F) {
	b, err := accepted(f, 3, text(time.Time{})).Encode()
	require.NoError(f, err)
	f.Add(b)
	f.Add([]byte(`{"revision":-1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		a, err := cowslipcontrol.DecodeAccepted(b)
		if err == nil {
			_, err = a.Encode()
			require.NoError(t, err)
		}
	})
}
