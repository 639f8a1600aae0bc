package cowslipentry

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"cowslipflow/cowslipcapacity"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipmessage"
	"cowslipflow/cowslippeer"
	"cowslipflow/cowsliproute"
)

const (
	// learnInterval is the time between two exchanges of estimates with a peer, and between
	// two updates of the targets.
	learnInterval = time.Second
	// remoteLearnInterval replaces learnInterval for peers in other failure domains, since
	// bytes between failure domains are priced.
	remoteLearnInterval = 2 * time.Second
	// learnTimeout limits one such exchange.
	learnTimeout = 500 * time.Millisecond
	// maxEstimates limits the targets in a message, which is then below 32 KiB.
	maxEstimates = 400
)

// learner learns what targets take from the answers that this instance gets and from what
// other instances tell. It learns about targets that state a slowdown in their load reports, and
// about all that report their load with Options.ScarceTargets. The zero value is ready to use; it is safe for concurrent use.
type learner struct {
	table   cowslipcapacity.Table
	mu      sync.Mutex
	targets map[cowslipcapacity.Key]*cowsliproute.Target
}

// learnCapacity learns from a good answer that took d.
func (f *forward) learnCapacity(t *cowsliproute.Target, x forwardResult, d time.Duration, now time.Time) {
	r := x.info.Report
	typical := f.route.MedianLatency()
	if r.Slots == 0 || typical <= 0 || r.Slowdown == 0 && !f.opts.ScarceTargets {
		return
	}
	k := cowslipcapacity.Key{ID: t.Info().ID, Incarnation: x.incarnation}
	f.learner.mu.Lock()
	if f.learner.targets == nil {
		f.learner.targets = map[cowslipcapacity.Key]*cowsliproute.Target{}
	}
	f.learner.targets[k] = t
	f.learner.mu.Unlock()
	f.learner.table.Observe(t.Info().Service, k, cowslipcapacity.Sample{At: now, Latency: float64(d) / float64(typical), Load: otherLoad(r), Slots: r.Slots, Slowdown: r.Slowdown})
}

// apply sets the estimates of all targets, and forgets targets that have none any more.
func (l *learner) apply(now time.Time) {
	p := l.table.Publish(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, x := range p {
		if t := l.targets[x.Key]; t != nil && t.Incarnation() == x.Incarnation {
			t.SetEstimate(x.Speed, x.Limit, x.OwnWeight)
		}
	}
	maps.DeleteFunc(l.targets, func(k cowslipcapacity.Key, _ *cowsliproute.Target) bool { return !l.table.Knows(k) })
}

// learnLoop applies what was learned and exchanges it with peers: an instance with the reader
// of its failure domain, and readers with those of other failure domains. So few messages cross
// failure domains, and none needs a coordinator.
func (e *Entry) learnLoop() {
	clients := map[string]*cowslippeer.Client{}
	defer func() {
		for _, c := range clients {
			c.Close()
		}
	}()
	for e.sleep(e.ctx, learnInterval) {
		now := e.clock.Now()
		e.learner.apply(now)
		peers := e.learningPeers()
		for addr, c := range clients {
			if !slices.ContainsFunc(peers, func(m cowslipcontrol.Member) bool { return m.Addr == addr }) {
				c.Close()
				delete(clients, addr)
			}
		}
		for _, m := range peers {
			l := e.estimatesFor(now, m.FailureDomain)
			if len(l) == 0 {
				continue
			}
			c := clients[m.Addr]
			if c == nil {
				c = &cowslippeer.Client{Addr: m.Addr, Dial: e.opts.Dial}
				clients[m.Addr] = c
			}
			interval := learnInterval / 2
			if m.FailureDomain != e.opts.FailureDomain {
				interval = remoteLearnInterval - learnInterval/2
			}
			e.startThrottled("learn "+m.Addr, interval, func(ctx context.Context) { e.learnFrom(ctx, c, l) })
		}
	}
}

// learningPeers returns the instances that this one calls to exchange estimates. Of two
// readers, the one with the lower ID calls.
func (e *Entry) learningPeers() []cowslipcontrol.Member {
	s := e.storeSources()
	if s.ReadsStore {
		return slices.DeleteFunc(slices.Clone(s.OtherReaders), func(m cowslipcontrol.Member) bool { return m.ID < e.opts.ID })
	}
	if s.OwnReader.Addr == "" {
		return nil
	}
	return []cowslipcontrol.Member{s.OwnReader}
}

// estimatesFor returns what this instance tells an instance of a failure domain. To its own one
// it tells what it has learned itself if it is a follower, and all that it knows if it is asked;
// to others what was learned in its own domain, so that nothing comes back to where it was learned.
func (e *Entry) estimatesFor(now time.Time, domain string) []cowslipcapacity.Estimate {
	own := func(s cowslipcapacity.Source) bool { return s.FailureDomain == e.opts.FailureDomain }
	if domain == e.opts.FailureDomain {
		own = func(cowslipcapacity.Source) bool { return false }
	}
	return e.learner.table.Estimates(now, own, maxEstimates)
}

func (e *Entry) learnFrom(ctx context.Context, c *cowslippeer.Client, l []cowslipcapacity.Estimate) {
	t, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	r, err := c.Learn(t, &cowslipmessage.TargetEstimates{Id: e.opts.ID, FailureDomain: e.opts.FailureDomain, Targets: encodeEstimates(l)})
	if err != nil {
		e.log.Debug("estimates not exchanged", "peer", c.Addr, "error", err)
		return
	}
	e.learner.table.Merge(e.clock.Now(), cowslipcapacity.Source{ID: r.GetId(), FailureDomain: r.GetFailureDomain()}, decodeEstimates(r.GetTargets()))
}

// onLearn takes over what a peer has learned and answers with what this instance knows.
func (e *Entry) onLearn(_ context.Context, m *cowslipmessage.TargetEstimates) (*cowslipmessage.TargetEstimates, error) {
	now := e.clock.Now()
	from := cowslipcapacity.Source{ID: m.GetId(), FailureDomain: m.GetFailureDomain()}
	e.learner.table.Merge(now, from, decodeEstimates(m.GetTargets()))
	l := e.estimatesFor(now, from.FailureDomain)
	if from.FailureDomain == e.opts.FailureDomain {
		l = e.learner.table.Estimates(now, func(s cowslipcapacity.Source) bool { return s != from }, maxEstimates)
	}
	return &cowslipmessage.TargetEstimates{Id: e.opts.ID, FailureDomain: e.opts.FailureDomain, Targets: encodeEstimates(l)}, nil
}

func encodeEstimates(l []cowslipcapacity.Estimate) []*cowslipmessage.TargetEstimate {
	var r []*cowslipmessage.TargetEstimate
	for _, x := range l {
		r = append(r, &cowslipmessage.TargetEstimate{Id: x.ID, Incarnation: x.Incarnation, Latency: x.Latency, Limit: x.Limit, Weight: x.Weight, AgeMillis: x.Age.Milliseconds()})
	}
	return r
}

func decodeEstimates(l []*cowslipmessage.TargetEstimate) []cowslipcapacity.Estimate {
	var r []cowslipcapacity.Estimate
	for _, x := range l[:min(len(l), maxEstimates)] {
		r = append(r, cowslipcapacity.Estimate{
			Key: cowslipcapacity.Key{ID: x.GetId(), Incarnation: x.GetIncarnation()}, Latency: x.GetLatency(), Limit: x.GetLimit(), Weight: x.GetWeight(), Age: time.Duration(x.GetAgeMillis()) * time.Millisecond,
		})
	}
	return r
}
