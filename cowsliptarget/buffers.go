package cowsliptarget

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

const (
	// defaultBufferBytes is the limit of the zero Buffers.
	defaultBufferBytes = 64 << 20
	// messageDivisor limits what one message may hold to 1/4 of what the others leave
	// free.
	messageDivisor = 4
	// firstReadBytes is the size of the first read of a message. Later reads double what
	// is held.
	firstReadBytes = 4 << 10
)

// Errors of Reservation.ReadAll.
const (
	ErrTooLong    = errors.ConstError("cowsliptarget: message exceeds its limit")
	ErrBufferFull = errors.ConstError("cowsliptarget: message exceeds its share of the buffers")
)

// Buffers limits the bytes of all messages that an instance holds in memory at the same
// time. A message may hold a quarter of what the others leave free, so that any number of
// endless messages leaves room for short ones. The zero value is ready to use and has a
// limit of 64 MiB. It is safe for concurrent use.
type Buffers struct {
	limit int64
	used  atomic.Int64
}

// NewBuffers creates Buffers with a limit in bytes; 0 means 64 MiB.
func NewBuffers(limit int64) *Buffers { return &Buffers{limit: limit} }

// Used returns the number of bytes that are held.
func (b *Buffers) Used() int64 { return b.used.Load() }

// Reserve returns the reservation of a new message, which holds nothing yet.
func (b *Buffers) Reserve() *Reservation { return &Reservation{buffers: b} }

// Reservation is what one message holds of Buffers. It is not safe for concurrent use,
// except for Release. A nil Reservation holds nothing.
type Reservation struct {
	buffers *Buffers
	held    atomic.Int64
}

// Grow reserves n more bytes and reports whether the message may hold them. If not,
// nothing is reserved.
func (r *Reservation) Grow(n int64) bool {
	limit := r.buffers.limit
	if limit == 0 {
		limit = defaultBufferBytes
	}
	free := limit - r.buffers.used.Add(n)
	held := r.held.Load() + n
	if free < 0 || held > (free+held)/messageDivisor {
		r.buffers.used.Add(-n)
		return false
	}
	r.held.Add(n)
	return true
}

// Release returns what is held. Further calls have no effect.
func (r *Reservation) Release() {
	if r != nil {
		r.buffers.used.Add(-r.held.Swap(0))
	}
}

// ReadAll reads a message to its end. Length is its length in bytes if it is known in
// advance, otherwise -1. ReadAll fails as soon as the message exceeds limit bytes or its
// share of the buffers.
func (r *Reservation) ReadAll(m io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, ErrTooLong
	}
	var b []byte
	for {
		if len(b) == cap(b) {
			n := max(int64(len(b)), firstReadBytes)
			if length >= int64(len(b)) {
				// One byte more than the message has, so that the last read meets its end.
				n = min(n, length-int64(len(b))+1)
			}
			if !r.Grow(n) {
				return b, ErrBufferFull
			}
			b = append(make([]byte, 0, int64(cap(b))+n), b...)
		}
		n, err := m.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > limit:
			return b, ErrTooLong
		case err == io.EOF:
			return b, nil
		case err != nil:
			return b, err
		}
	}
}
