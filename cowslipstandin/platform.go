package cowslipstandin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"cowslipflow/cowslipplatform"

	"github.com/juju/errors"
	"k8s.io/utils/clock"
)

// ErrDown is the error of a call that gets no answer because of a fault, or because its
// context ends first.
const ErrDown = errors.ConstError("cowslipstandin: no answer from the platform")

// PlatformFaults are the faults that a Platform injects. The zero value injects none.
type PlatformFaults struct {
	Down       bool          `json:"down"`         // no call is answered or takes effect
	LoseWrites int           `json:"loseWrites"`   // this many Put calls take effect, but their answers are lost
	Delay      time.Duration `json:"delayNanos"`   // added to each call
	DelayOnly  []string      `json:"delayOnly"`    // clients whose calls are delayed, all if empty
	ListLag    time.Duration `json:"listLagNanos"` // age of the instance list that is returned
	Cut        []string      `json:"cut"`          // clients whose calls are neither answered nor take effect
}

// PlatformRecord holds the numbers of calls that a Platform processed, without those that
// it did not answer because of Down, Cut or Delay.
type PlatformRecord struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`  // with the calls about leases
	Watches int `json:"watches"` // a watch counts again each time that it is woken
}

type listSnapshot struct {
	at        time.Time
	instances []cowslipplatform.Instance
}

type storedValue struct {
	cowslipplatform.Value
	lease   uint64
	expires time.Time
}

// Platform is a stand-in for the platform: a key-value store with leases and a list of
// instances. Create it with NewPlatform. It is safe for concurrent use.
type Platform struct {
	mu                sync.Mutex
	clock             clock.Clock
	faults            PlatformFaults
	record            PlatformRecord
	era               uint64
	revision          uint64
	values            map[string]storedValue
	leases            map[uint64]*lease
	nextLease         uint64
	instances         map[string]cowslipplatform.Instance
	listHistory       []listSnapshot
	changed           chan struct{}
	changes           []cowslipplatform.Change
	compactedRevision uint64 // changes up to this revision were discarded
}

// NewPlatform returns an empty platform. A nil clock means the system clock.
func NewPlatform(c clock.Clock) *Platform {
	if c == nil {
		c = clock.RealClock{}
	}
	return &Platform{clock: c, values: map[string]storedValue{}, leases: map[uint64]*lease{}, instances: map[string]cowslipplatform.Instance{}, changed: make(chan struct{})}
}

// SetFaults replaces the faults that the platform injects.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// Record returns the numbers of calls so far.
func (p *Platform) Record() PlatformRecord {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// Backup copies the values, for Restore.
func (p *Platform) Backup() map[string]cowslipplatform.Value {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := map[string]cowslipplatform.Value{}
	for k, v := range p.values {
		b[k] = v.Value
	}
	return b
}

// Restore replaces the values by those of a backup, as after a loss of data. The history
// of changes is discarded, too.
func (p *Platform) Restore(b map[string]cowslipplatform.Value) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values = map[string]storedValue{}
	for k, v := range b {
		p.values[k] = storedValue{Value: v}
	}
	p.revision++
	p.discardHistory()
	p.notifyWatchers()
}

// SetInstance adds an instance to the list or replaces its entry.
func (p *Platform) SetInstance(i cowslipplatform.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.ID] = i
	p.recordList()
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
	p.recordList()
}

func (p *Platform) recordList() {
	l := slices.SortedFunc(maps.Values(p.instances), func(a, b cowslipplatform.Instance) int { return strings.Compare(a.ID, b.ID) })
	p.listHistory = append(p.listHistory, listSnapshot{at: p.clock.Now(), instances: l})
}

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Store returns a Store through which a client calls the platform without a network.
func (p *Platform) Store(client string) *cowslipplatform.Store {
	return &cowslipplatform.Store{
		Get: func(ctx context.Context, key string) (cowslipplatform.Value, error) { return p.get(ctx, client, key) },
		Put: func(ctx context.Context, w cowslipplatform.Write) (cowslipplatform.Revision, error) {
			return p.put(ctx, client, w)
		},
		Delete: func(ctx context.Context, key string, expect cowslipplatform.Revision) error {
			return p.remove(ctx, client, key, expect)
		},
		List: func(ctx context.Context, prefix string) ([]cowslipplatform.Value, error) {
			return p.list(ctx, client, prefix)
		},
		Watch: func(ctx context.Context, key string, after cowslipplatform.Revision, wait time.Duration) (cowslipplatform.Value, error) {
			return p.watch(ctx, client, key, after, wait)
		},
		Grant: func(ctx context.Context, ttl time.Duration) (cowslipplatform.Lease, error) {
			return p.grant(ctx, client, ttl)
		},
		KeepAlive: func(ctx context.Context, l cowslipplatform.Lease) error { return p.keepAlive(ctx, client, l) },
		Revoke:    func(ctx context.Context, l cowslipplatform.Lease) error { return p.revoke(ctx, client, l) },
		Instances: func(ctx context.Context) ([]cowslipplatform.Instance, error) { return p.listInstances(ctx, client) },
		Scan: func(ctx context.Context, prefix string, _ bool) (cowslipplatform.Listing, error) {
			return p.scan(ctx, client, prefix)
		},
		Changes: func(ctx context.Context, prefix string, after cowslipplatform.Revision, wait time.Duration) ([]cowslipplatform.Change, cowslipplatform.Revision, error) {
			return p.awaitChanges(ctx, client, prefix, after, wait)
		},
	}
}

// beginCall starts a call: it applies the faults and removes expired leases and
// values. If the platform does not answer the client, it waits for the end of ctx and
// returns ErrDown. If it returns nil, the caller holds p.mu.
func (p *Platform) beginCall(ctx context.Context, client string) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Down || slices.Contains(f.Cut, client) {
		<-ctx.Done()
		return ErrDown
	}
	if f.Delay > 0 && (len(f.DelayOnly) == 0 || slices.Contains(f.DelayOnly, client)) {
		select {
		case <-ctx.Done():
			return ErrDown
		case <-p.clock.After(f.Delay):
		}
	}
	p.mu.Lock()
	p.expire()
	return nil
}

// expire removes the leases and values whose time is over, and wakes the watchers if there
// are any.
func (p *Platform) expire() {
	n := p.clock.Now()
	before := p.revision
	for id, l := range p.leases {
		if n.After(l.expires) {
			p.endLease(id)
		}
	}
	for k, v := range p.values {
		if !v.expires.IsZero() && n.After(v.expires) {
			p.deleteKey(k)
		}
	}
	if p.revision != before {
		p.notifyWatchers()
	}
}

// nextExpiry returns a channel that receives just after the next lease or value expires,
// nil if none does.
func (p *Platform) nextExpiry() <-chan time.Time {
	var first time.Time
	consider := func(t time.Time) {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	for _, l := range p.leases {
		consider(l.expires)
	}
	for _, v := range p.values {
		consider(v.expires)
	}
	if first.IsZero() {
		return nil
	}
	return p.clock.After(first.Sub(p.clock.Now()) + time.Nanosecond)
}

func (p *Platform) get(ctx context.Context, client, key string) (cowslipplatform.Value, error) {
	if err := p.beginCall(ctx, client); err != nil {
		return cowslipplatform.Value{}, err
	}
	defer p.mu.Unlock()
	p.record.Reads++
	v, ok := p.values[key]
	if !ok {
		return cowslipplatform.Value{}, cowslipplatform.ErrNotFound
	}
	return v.Value, nil
}

func (p *Platform) put(ctx context.Context, client string, w cowslipplatform.Write) (cowslipplatform.Revision, error) {
	if err := p.beginCall(ctx, client); err != nil {
		return cowslipplatform.Revision{}, err
	}
	defer p.mu.Unlock()
	p.record.Writes++
	if p.values[w.Key].Revision.Number() != w.Expect.Number() {
		return cowslipplatform.Revision{}, cowslipplatform.ErrConflict
	}
	if !w.Lease.IsZero() && p.leases[w.Lease.ID()] == nil {
		return cowslipplatform.Revision{}, cowslipplatform.ErrLeaseExpired
	}
	p.revision++
	s := storedValue{Value: cowslipplatform.Value{Key: w.Key, Data: slices.Clone(w.Data), Revision: p.at(p.revision)}, lease: w.Lease.ID()}
	if w.TTL > 0 {
		s.expires = p.clock.Now().Add(w.TTL)
	}
	p.values[w.Key] = s
	p.changes = append(p.changes, cowslipplatform.Change{Value: s.Value})
	p.notifyWatchers()
	if p.faults.LoseWrites > 0 {
		p.faults.LoseWrites--
		return cowslipplatform.Revision{}, ErrDown
	}
	if !w.Expect.IsZero() && w.Expect.Era() != p.era || !w.Lease.IsZero() && w.Lease.Era() != p.era {
		return cowslipplatform.Revision{}, cowslipplatform.ErrEraEnded
	}
	return s.Revision, nil
}

func (p *Platform) remove(ctx context.Context, client, key string, expect cowslipplatform.Revision) error {
	if err := p.beginCall(ctx, client); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.record.Writes++
	v, ok := p.values[key]
	if !ok {
		return cowslipplatform.ErrNotFound
	}
	if v.Revision.Number() != expect.Number() {
		return cowslipplatform.ErrConflict
	}
	p.deleteKey(key)
	p.notifyWatchers()
	if expect.Era() != p.era {
		return cowslipplatform.ErrEraEnded
	}
	return nil
}

func (p *Platform) list(ctx context.Context, client, prefix string) ([]cowslipplatform.Value, error) {
	if err := p.beginCall(ctx, client); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.record.Reads++
	l := []cowslipplatform.Value{}
	for _, k := range slices.Sorted(maps.Keys(p.values)) {
		if strings.HasPrefix(k, prefix) {
			l = append(l, p.values[k].Value)
		}
	}
	return l, nil
}

func (p *Platform) watch(ctx context.Context, client, key string, after cowslipplatform.Revision, wait time.Duration) (cowslipplatform.Value, error) {
	t := p.clock.After(wait)
	for {
		if err := p.beginCall(ctx, client); err != nil {
			return cowslipplatform.Value{}, err
		}
		v, ok := p.values[key]
		c, e := p.changed, p.nextExpiry()
		p.record.Watches++
		p.mu.Unlock()
		if ok && v.Revision != after {
			return v.Value, nil
		}
		select {
		case <-c:
		case <-e:
		case <-ctx.Done():
			return cowslipplatform.Value{}, ErrDown
		case <-t:
			if !ok {
				return cowslipplatform.Value{}, cowslipplatform.ErrNotFound
			}
			return v.Value, nil
		}
	}
}

func (p *Platform) listInstances(ctx context.Context, client string) ([]cowslipplatform.Instance, error) {
	if err := p.beginCall(ctx, client); err != nil {
		return nil, err
	}
	defer p.mu.Unlock()
	p.record.Reads++
	at := p.clock.Now().Add(-p.faults.ListLag)
	l := []cowslipplatform.Instance{}
	for _, h := range p.listHistory {
		if !h.at.After(at) {
			l = h.instances
		}
	}
	return l, nil
}
