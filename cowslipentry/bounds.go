package cowslipentry

import (
	"time"

	"cowslipflow/cowslipcontrol"
)

// Bounds are the limits that a platform's rules state. They may change while an
// instance runs; see Entry.Retune. A zero value sets none.
type Bounds struct {
	Drain       time.Duration // a leaving target gets no request later than this after the store knows it
	Apply       time.Duration // a configuration is in force everywhere
	Grace       time.Duration // between a stop's signal and its end
	RetryShare  float64       // requests sent again over the requests of callers
	RetrySlack  int           // requests sent again on top of RetryShare in each RetryWindow, over all instances
	RetryWindow time.Duration
	ExposeShare float64 // requests to the new version of a service before it is proved, over all of the service
	ExposeSlack int     // such requests on top of ExposeShare, over all instances
}

// Shares of bounds that are used.
const (
	// maxCopyAgeShare is the part of Apply from which a copy of the store that nobody has
	// confirmed is old.
	maxCopyAgeShare = 2.0 / 3
	// removalGraceDivisor is the part of Drain, a third, for which a target that is no
	// longer listed still serves; its entry may have lapsed.
	removalGraceDivisor = 3
	// retryShareMargin is the part of RetryShare that the operators' text states:
	// instances count requests apart from each other.
	retryShareMargin = 0.9
	// balancerDetectionTime is how long a balancer that asks twice, a second apart, takes to
	// notice that an instance is no longer ready, with the answers.
	balancerDetectionTime = 2500 * time.Millisecond
	// defaultMaxCopyAge is for instances without bounds.
	defaultMaxCopyAge = 2 * time.Second
)

// ExtraLoad is the share of retries and hedges that a text of services is to state.
func (b Bounds) ExtraLoad() float64 { return b.RetryShare * retryShareMargin }

// maxCopyAge is the age of the copy's last confirmation from which an instance that is
// no reader asks the store itself.
func (b Bounds) maxCopyAge() time.Duration {
	if b.Apply == 0 {
		return defaultMaxCopyAge
	}
	return time.Duration(float64(b.Apply) * maxCopyAgeShare)
}

// drainWait is the time for the balancer to notice a shutdown.
func (b Bounds) drainWait() time.Duration {
	if b.Grace == 0 {
		return defaultDrainWait
	}
	return min(balancerDetectionTime, b.Grace/2)
}

func (b Bounds) controlBounds() cowslipcontrol.Bounds {
	return cowslipcontrol.Bounds{RemovalGrace: b.Drain / removalGraceDivisor, RetrySlack: b.RetrySlack, RetryWindow: b.RetryWindow, ExposeShare: b.ExposeShare, ExposeSlack: b.ExposeSlack}
}
