package cowsliptarget_test

import (
	"strings"
	"testing"
	"testing/iotest"

	"cowslipflow/cowsliptarget"

	"github.com/stretchr/testify/require"
)

func TestReadAll(t *testing.T) {
	const limit = 20 << 10
	for _, c := range []struct {
		name     string
		size     int
		length   int64
		buffers  int64
		want     error
		mostHeld int64
	}{
		{"nothing", 0, -1, 1 << 20, nil, 4 << 10},
		{"nothing, as announced", 0, 0, 1 << 20, nil, 1},
		{"short", 100, -1, 1 << 20, nil, 4 << 10},
		{"short, as announced", 100, 100, 1 << 20, nil, 101},
		{"of the first read", 4 << 10, -1, 1 << 20, nil, 8 << 10},
		{"long, as announced", 18 << 10, 18 << 10, 1 << 20, nil, 18<<10 + 1},
		{"longer than announced", 9 << 10, 5 << 10, 1 << 20, nil, 16 << 10},
		{"shorter than announced", 2 << 10, 9 << 10, 1 << 20, nil, 4 << 10},
		{"over the limit", 21 << 10, -1, 1 << 20, cowsliptarget.ErrTooLong, 32 << 10},
		{"announced over the limit", 21 << 10, 21 << 10, 1 << 20, cowsliptarget.ErrTooLong, 0},
		{"over its share", 18 << 10, -1, 32 << 10, cowsliptarget.ErrBufferFull, 8 << 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := cowsliptarget.NewBuffers(c.buffers)
			r := b.Reserve()
			m, err := r.ReadAll(iotest.HalfReader(strings.NewReader(strings.Repeat("x", c.size))), c.length, limit)
			require.ErrorIs(t, err, c.want)
			if c.want == nil {
				require.Len(t, m, c.size)
			}
			require.LessOrEqual(t, b.Used(), c.mostHeld)
			r.Release()
			r.Release()
			require.Zero(t, b.Used())
		})
	}
}
