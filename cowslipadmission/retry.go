package cowslipadmission

import "time"

// Constants of the delay that refused callers are told to wait.
const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryUnit is the delay at a share of one half.
	retryUnit = 200 * time.Millisecond
	// retrySpread spreads callers: each waits up to this share longer.
	retrySpread = 0.5
)

// retryAfter returns how long the caller of a request is told to wait of whose flow a share
// is admitted: the longer, the more requests there are for each that is admitted. The flows
// of urgent priorities have greater shares, so that their callers come back first.
func (p *Pool) retryAfter(share float64) time.Duration {
	d := float64(maxRetryAfter)
	if share > 0 {
		d = min(float64(retryUnit)*(1-share)/share, d)
	}
	return time.Duration(max(d, float64(minRetryAfter)) * (1 + retrySpread*p.random()))
}
