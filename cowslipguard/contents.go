package cowslipguard

import "time"

// contents are contents with times, of which the latest MaxContents/2 at least are remembered.
type contents struct{ recent, older map[uint64]time.Time }

func (c *contents) add(content uint64, at time.Time) {
	if len(c.recent) >= MaxContents/2 {
		c.recent, c.older = nil, c.recent
	}
	if c.recent == nil {
		c.recent = map[uint64]time.Time{}
	}
	c.recent[content] = at
}

func (c *contents) remove(content uint64) {
	delete(c.recent, content)
	delete(c.older, content)
}

func (c *contents) has(content uint64) bool { return !c.last(content).IsZero() }

func (c *contents) last(content uint64) time.Time {
	if t, ok := c.recent[content]; ok {
		return t
	}
	return c.older[content]
}
