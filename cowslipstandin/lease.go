package cowslipstandin

import (
	"context"
	"time"

	"cowslipflow/cowslipplatform"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

func (p *Platform) endLease(id uint64) {
	delete(p.leases, id)
	for k, v := range p.values {
		if v.lease == id {
			p.deleteKey(k)
		}
	}
}

func (p *Platform) grant(ctx context.Context, client string, ttl time.Duration) (cowslipplatform.Lease, error) {
	if err := p.beginCall(ctx, client); err != nil {
		return cowslipplatform.Lease{}, err
	}
	defer p.mu.Unlock()
	p.record.Writes++
	p.nextLease++
	p.leases[p.nextLease] = &lease{ttl: ttl, expires: p.clock.Now().Add(ttl)}
	return cowslipplatform.NewLease(p.era, p.nextLease), nil
}

func (p *Platform) keepAlive(ctx context.Context, client string, k cowslipplatform.Lease) error {
	if err := p.beginCall(ctx, client); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.record.Writes++
	l := p.leases[k.ID()]
	if l == nil {
		return cowslipplatform.ErrLeaseExpired
	}
	l.expires = p.clock.Now().Add(l.ttl)
	if k.Era() != p.era {
		return cowslipplatform.ErrLeaseExpired
	}
	return nil
}

func (p *Platform) revoke(ctx context.Context, client string, l cowslipplatform.Lease) error {
	if err := p.beginCall(ctx, client); err != nil {
		return err
	}
	defer p.mu.Unlock()
	p.record.Writes++
	if l.Era() != p.era {
		return cowslipplatform.ErrLeaseExpired
	}
	p.endLease(l.ID())
	p.notifyWatchers()
	return nil
}
