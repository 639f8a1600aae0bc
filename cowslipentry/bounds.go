package cowslipentry

import (
	"time"

	"cowslipflow/cowslipcontrol"
)

// Bounds are the limits that a platform's rules set. They may change while an
// instance runs; see Entry.UpdateSettings. A field that is zero sets no limit.
type Bounds struct {
	Drain       time.Duration // how soon a target receives no more requests after the store has recorded that it is leaving
	Apply       time.Duration // how soon a new configuration is in force on all instances
	Grace       time.Duration // time between the signal to stop and the forced end of the process
	RetryShare  float64       // retries and hedges allowed, as a share of the requests of callers
	RetrySlack  int           // retries and hedges allowed in addition to RetryShare in each RetryWindow, over all instances
	RetryWindow time.Duration
	ExposeShare float64 // share of a service's requests that its new version may receive before it is proven
	ExposeSlack int     // requests that the new version may receive in addition to ExposeShare, over all instances
}

// Constants for the values derived from Bounds.
const (
	// staleAgeShare is the age, as a share of Apply, at which the mirror, this
	// instance's copy of the store, is stale. The age counts from the time when the
	// store last confirmed the content.
	staleAgeShare = 2.0 / 3
	// removalGraceDivisor sets how long a target still receives requests after it has
	// left the platform's list: 1/3 of Drain. It may be listed again, since list
	// entries may lapse during a platform outage.
	removalGraceDivisor = 3
	// extraLoadFraction is the fraction of RetryShare that instances may use. The rest
	// is a reserve, since each instance counts its requests separately.
	extraLoadFraction = 0.9
	// balancerDetectionTime is how long a load balancer that checks twice, one second
	// apart, takes to notice that an instance is no longer ready, including the answers
	// to the checks.
	balancerDetectionTime = 2500 * time.Millisecond
	// defaultStaleAge applies to instances without bounds.
	defaultStaleAge = 2 * time.Second
)

// ExtraLoad returns the value for the extraLoad setting of services: the share of
// retries and hedges that instances may send.
func (b Bounds) ExtraLoad() float64 { return b.RetryShare * extraLoadFraction }

// staleAge returns the age at which the mirror is stale; see Entry.staleAge.
func (b Bounds) staleAge() time.Duration {
	if b.Apply == 0 {
		return defaultStaleAge
	}
	return time.Duration(float64(b.Apply) * staleAgeShare)
}

// drainWait returns how long a shutdown waits for the load balancer to notice it.
func (b Bounds) drainWait() time.Duration {
	if b.Grace == 0 {
		return defaultDrainWait
	}
	return min(balancerDetectionTime, b.Grace/2)
}

func (b Bounds) controlBounds() cowslipcontrol.Bounds {
	return cowslipcontrol.Bounds{RemovalGrace: b.Drain / removalGraceDivisor, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow, ExposeShare: b.ExposeShare, ExposeSlack: b.ExposeSlack}
}
