package cowslipentry

import (
	"context"
	"testing"
	"time"

	"cowslipflow/cowslipconfig"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslipmirror"
	"cowslipflow/cowslipplatform"
	"cowslipflow/cowslipstandin"

	"github.com/stretchr/testify/require"
)

const (
	movedConfig = `
[[failureDomains]]
name = "cerro"
[[services]]
name = "s"
kind = "narrow"
[[routes]]
name = "r"
host = "h.example"
prefix = "/"
service = "s"
[[moves]]
service = "s"
to = "v2"
within = "12s"
order = 1
`
	moveStatusKey = "status/s"
)

// moveCodec returns the codec of a store that holds the state of one move as plain text.
func moveCodec() StoreCodec {
	record := func(v cowslipplatform.Value) MoveRecord {
		return MoveRecord{Move: cowslipconfig.MoveID("s", "v2", 1), State: MoveState(v.Data), Revision: v.Revision}
	}
	return StoreCodec{
		Decode: func(l []cowslipplatform.Value) (StoreContents, []error) {
			c := StoreContents{ConfigText: movedConfig}
			var status cowslipplatform.Value
			for _, v := range l {
				if v.Key == moveStatusKey {
					status = v
				}
			}
			c.Moves = []MoveRecord{record(status)}
			return c, nil
		},
		EncodeMove: func(_ cowslipconfig.Move, s MoveState) (string, []byte) { return moveStatusKey, []byte(s) },
		DecodeMove: func(_ cowslipconfig.Move, v cowslipplatform.Value) MoveRecord { return record(v) },
	}
}

// Guards against a final state of a move that is replaced by another one: the mirror had the
// record of another instance, of which the control state that decided had not heard.
func TestRecordOfAMoveRestsOnTheStateThatDecided(t *testing.T) {
	for _, x := range []struct {
		name    string
		before  MoveState // in the store when the control state decides, none if empty
		stopped bool      // the control state decides to take the move back; otherwise, to record its start
		written MoveState // by another instance, before this one writes
	}{
		{"taken back after it was done", MoveRunning, true, MoveDone},
		{"running after it was done", "", false, MoveDone},
		{"running after it was taken back", "", false, MoveTakenBack},
	} {
		t.Run(x.name, func(t *testing.T) {
			p := cowslipstandin.NewPlatform(nil)
			s := p.Store("e1")
			put, tried := s.Put, make(chan bool, 1)
			s.Put = func(ctx context.Context, w cowslipplatform.Write) (cowslipplatform.Revision, error) {
				n, err := put(ctx, w)
				select {
				case tried <- true:
				default:
				}
				return n, err
			}
			write := func(v MoveState, expect cowslipplatform.Revision) cowslipplatform.Revision {
				n, err := put(t.Context(), cowslipplatform.Write{Key: moveStatusKey, Data: []byte(v), Expect: expect})
				require.NoError(t, err)
				return n
			}
			none := cowslipplatform.Revision{}
			revision, expect := write("other", none), none
			require.NoError(t, s.Delete(t.Context(), moveStatusKey, revision))
			if x.before != "" {
				expect = write(x.before, none)
			}
			e, c := newStillEntryWith(t, Options{ID: "e1", Store: s, StoreCodec: moveCodec(), Edge: func(*Entry) (Edge, error) { return Edge{}, nil }}, time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC))
			l, err := s.Scan(t.Context(), "", false)
			require.NoError(t, err)
			u := cowslipmirror.Update{Full: true, Revision: l.Revision}
			for _, v := range l.Values {
				u.Changes = append(u.Changes, cowslipplatform.Change{Value: v})
			}
			e.applyUpdate(u, "test")

			n := write(x.written, expect)
			require.True(t, e.mirror.Apply(cowslipmirror.Update{From: l.Revision, Revision: n, Changes: []cowslipplatform.Change{{Value: cowslipplatform.Value{Key: moveStatusKey, Data: []byte(x.written), Revision: n}}}}))
			if x.stopped {
				require.True(t, e.do(func(now time.Time, k *cowslipcontrol.Control) {
					k.Message(now, now, &cowslipmessage.State{Id: "e2", Addr: "e2", FailureDomain: "cerro", Stops: []*cowslipmessage.Stop{{Move: cowslipconfig.MoveID("s", "v2", 1), Reason: "test", By: "e2"}}})
				}))
			} else {
				c.Step(cowslipcontrol.JoinGrace)
			}
			require.Eventually(t, func() bool {
				c.Step(tickInterval)
				select {
				case <-tried:
					return true
				default:
					return false
				}
			}, waitLimit, time.Millisecond, "the record is written")
			require.Eventually(t, func() bool {
				state := ""
				e.do(func(now time.Time, k *cowslipcontrol.Control) { state = k.Moves(now)[0].State })
				return state == string(x.written)
			}, waitLimit, time.Millisecond, "the conflict shows the outcome")
			v, err := s.Get(t.Context(), moveStatusKey)
			require.NoError(t, err)
			require.Equal(t, string(x.written), string(v.Data))
		})
	}
}
