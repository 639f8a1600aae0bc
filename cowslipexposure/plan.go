package cowslipexposure

import (
	"time"
)

const (
	// maxLoadShare limits the share of the requests that one target gets, so that requests to
	// the old version remain to compare with.
	maxLoadShare = 0.75
	// reservedTime is the part of the duration for which the load on one target is reserved.
	reservedTime = 0.25
	// maxReserved limits what is reserved for it, as a share of all that may be sent.
	maxReserved = 0.75
	// nearLoad is the part of the load that is taken for it.
	nearLoad = 0.9
	// finalTime is the part of the duration before the decision in which what is left of the bound
	// is used in any case.
	finalTime = 0.08
	// minElapsed is the part of the duration after which rates of requests are estimated.
	minElapsed = 0.02
)

// Route is what an instance has sent of a route's requests since the move began.
type Route struct {
	All, New float64 // requests to both versions, and to the new one
	Cap      float64 // greatest share that the new version may get by the evidence, 0 if only canary requests may be sent
	Few      bool    // the route has few requests: the new version gets the share Cap of them as long as the bound allows any
}

// Traffic is what an instance has sent of a service's requests since the move began, and what it
// may send of them to the new version.
type Traffic struct {
	Share, Slack float64 // the new version may get Share of all requests and Slack requests besides
	Routes       map[string]Route
	Elapsed      time.Duration // since the move began
	Decision     time.Duration // from the beginning until the move is decided at the latest
	Duration     time.Duration // of the move
	Targets      int           // of the new version
}

// Plan is how requests are divided at present.
type Plan struct {
	Shares map[string]float64 // by route; those whose Cap is 0 are left out
	Load   bool               // the targets get the load that they bear after the move, one at a time
}

// Plan decides how requests are divided.
func (t Traffic) Plan() Plan {
	p := Plan{Shares: map[string]float64{}}
	var all, sent float64
	for n, r := range t.Routes {
		all, sent = all+r.All, sent+r.New
		if r.Cap > 0 {
			p.Shares[n] = 0
		}
	}
	if sent >= t.Share*all+t.Slack {
		return p
	}
	if t.Elapsed <= time.Duration(minElapsed*float64(t.Duration)) {
		for n := range p.Shares {
			p.Shares[n] = min(t.Share, t.Routes[n].Cap)
		}
		return p
	}
	rate := all / t.Elapsed.Seconds()
	// The time left never reaches 0, so that the share stays finite after the decision is due.
	left := max(t.Decision-t.Elapsed, t.Duration-t.Decision).Seconds()
	allowed := t.Share*(all+rate*left) + t.Slack
	load := LoadShare(t.Targets) * rate
	reserved := min(load*reservedTime*t.Duration.Seconds(), maxReserved*allowed)
	perSecond := max(allowed-sent-reserved, 0) / left
	// What is left lasts until the decision at about the load, or at what it allows in the end.
	until := max(t.Decision-t.Elapsed, 0).Seconds()
	if p.Load = allowed-sent >= nearLoad*load*until || until < finalTime*t.Duration.Seconds(); p.Load {
		perSecond = min(load, (allowed-sent)/max(until, minElapsed*t.Duration.Seconds()))
	}
	t.divide(perSecond, p.Shares)
	return p
}

// LoadShare returns the share of the service's requests that each of so many targets of the new
// version gets after the move, as far as it may get as much before.
func LoadShare(targets int) float64 { return min(1/float64(max(targets, 1)), maxLoadShare) }

// divide sets the shares of the routes so that the new version gets perSecond requests, as many of
// each route as far as the route has so many and does not have few.
func (t Traffic) divide(perSecond float64, shares map[string]float64) {
	open := map[string]float64{} // the greatest rates of the routes that may give more
	for n := range shares {
		r := t.Routes[n]
		most := r.Cap * r.All / t.Elapsed.Seconds()
		if r.Few {
			shares[n] = r.Cap
			perSecond = max(perSecond-most, 0)
			continue
		}
		open[n] = most
	}
	for len(open) > 0 {
		level, full := perSecond/float64(len(open)), ""
		for n, most := range open {
			if most <= level {
				full = n
				break
			}
		}
		if full == "" {
			for n, most := range open {
				shares[n] = t.Routes[n].Cap * level / most // most is above level, which is at least 0
			}
			return
		}
		shares[full] = t.Routes[full].Cap
		perSecond -= open[full]
		delete(open, full)
	}
}
