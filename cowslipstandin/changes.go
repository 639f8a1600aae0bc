package cowslipstandin

import (
	"context"
	"strings"
	"time"

	"cowslipflow/cowslipplatform"
)

// deleteKey removes a key. The removal takes a revision of its own.
func (p *Platform) deleteKey(key string) {
	delete(p.values, key)
	p.revision++
	p.changes = append(p.changes, cowslipplatform.Change{Value: cowslipplatform.Value{Key: key, Revision: p.at(p.revision)}, Removed: true})
}

// Compact discards the history of changes. A call that asks for changes after an
// earlier revision then fails with cowslipplatform.ErrCompacted.
func (p *Platform) Compact() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardHistory()
}

func (p *Platform) discardHistory() {
	p.compactedRevision = p.revision
	p.changes = nil
}

func (p *Platform) scan(ctx context.Context, client, prefix string) (cowslipplatform.Listing, error) {
	v, err := p.list(ctx, client, prefix)
	p.mu.Lock()
	defer p.mu.Unlock()
	return cowslipplatform.Listing{Values: v, Revision: p.at(max(p.revision, 1))}, err
}

// awaitChanges waits for changes after a revision. It returns them, or none when wait has
// elapsed, and the revision to pass to the next call.
func (p *Platform) awaitChanges(ctx context.Context, client, prefix string, after cowslipplatform.Revision, wait time.Duration) ([]cowslipplatform.Change, cowslipplatform.Revision, error) {
	t := p.clock.After(wait)
	for {
		if err := p.beginCall(ctx, client); err != nil {
			return nil, cowslipplatform.Revision{}, err
		}
		p.record.Watches++
		l, at, compacted, c, e := p.changesSince(prefix, after.Number()), p.at(p.revision), after.Number() < p.compactedRevision || after.Number() > max(p.revision, 1), p.changed, p.nextExpiry()
		p.mu.Unlock()
		switch {
		case compacted:
			return nil, cowslipplatform.Revision{}, cowslipplatform.ErrCompacted
		case !at.SameEra(after):
			return nil, cowslipplatform.Revision{}, cowslipplatform.ErrEraEnded
		}
		if len(l) > 0 {
			return l, at, nil
		}
		select {
		case <-c:
		case <-e:
		case <-ctx.Done():
			return nil, cowslipplatform.Revision{}, ErrDown
		case <-t:
			if after.After(at) {
				at = after
			}
			return nil, at, nil
		}
	}
}

func (p *Platform) changesSince(prefix string, after uint64) []cowslipplatform.Change {
	var l []cowslipplatform.Change
	for _, c := range p.changes {
		if c.Revision.Number() > after && strings.HasPrefix(c.Key, prefix) {
			l = append(l, c)
		}
	}
	return l
}
