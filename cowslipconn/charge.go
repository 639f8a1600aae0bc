package cowslipconn

import (
	"io"
	"time"
)

// idleDivisor lowers the weight of connections that wait between two requests: callers reuse
// them, while one that has sent half a request, or none yet, has served nobody.
const idleDivisor = 8

// Charge is what one connection holds of an Account. Its fields belong to the Account.
type Charge struct {
	conn    io.Closer
	client  *client
	held    int64     // all that it is charged
	read    int64     // part of held that is for a request, from its first byte to its end
	served  bool      // a request was answered
	running int       // requests in progress
	writing int       // writes in progress
	since   time.Time // when it was opened, last answered, or began its request, whichever is last
	closed  bool
}

// weight ranks connections that may be closed: those that hold the most for the longest come
// first.
func (c *Charge) weight(now time.Time) float64 {
	w := float64(c.held) * now.Sub(c.since).Seconds()
	if c.served && c.read == 0 {
		w /= idleDivisor
	}
	return w
}

// busy reports whether the connection must stay open.
func (c *Charge) busy() bool { return c.running > 0 || c.writing > 0 }
