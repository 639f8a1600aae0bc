package cowslipcontrol

import (
	"fmt"
	"slices"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
)

const (
	// quarantineTime is how long after its last crash a request is held.
	quarantineTime = 10 * time.Minute
	// maxCrashes bounds the table of crashes; the oldest go first.
	maxCrashes = 4096
)

// crash is a row of the table of requests that took a target down.
type crash struct {
	fingerprint      uint64
	incident         string
	service, version string
	at               time.Time
}

// Crashed notes that a request took a target down. The incident is the same
// for all targets that one query took down.
func (c *Control) Crashed(now time.Time, fingerprint uint64, incident, service, version string) {
	c.addCrash(crash{fingerprint: fingerprint, incident: incident, service: service, version: version, at: now})
	c.effects.Push = true
}

func (c *Control) addCrash(x crash) {
	for _, y := range c.crashes {
		if y.incident == x.incident && y.version == x.version {
			return
		}
	}
	c.crashes = append(c.crashes, x)
	if len(c.crashes) > maxCrashes {
		c.crashes = c.crashes[1:]
	}
	c.crashers = nil
	c.o.Event("requestCrashedTarget", fmt.Sprintf("%016x", x.fingerprint), "service "+x.service+" version "+x.version+" request "+x.incident)
}

// runQuarantine forgets old crashes and counts those of each fingerprint.
func (c *Control) runQuarantine(now time.Time) {
	n := len(c.crashes)
	c.crashes = slices.DeleteFunc(c.crashes, func(x crash) bool { return now.Sub(x.at) > quarantineTime })
	if c.crashers != nil && len(c.crashes) == n {
		return
	}
	incidents := map[uint64]map[string]bool{}
	for _, x := range c.crashes {
		if incidents[x.fingerprint] == nil {
			incidents[x.fingerprint] = map[string]bool{}
		}
		incidents[x.fingerprint][x.incident] = true
	}
	c.crashers = map[uint64]cowsliproute.Verdict{}
	for f, l := range incidents {
		c.crashers[f] = cowsliproute.Suspect
		if len(l) > 1 {
			c.crashers[f] = cowsliproute.Quarantined
		}
		if len(l) > 1 && !c.quarantined[f] {
			c.quarantined[f] = true
			c.o.Event("requestQuarantined", fmt.Sprintf("%016x", f), "for "+quarantineTime.String()+" after its last crash")
		}
	}
	for f := range c.quarantined {
		if c.crashers[f] != cowsliproute.Quarantined {
			delete(c.quarantined, f)
			c.o.Event("requestReleased", fmt.Sprintf("%016x", f), "its quarantine is over")
		}
	}
	c.viewDirty = true
}

// crashedBy counts the different requests that crashed a move's new version
// and did not crash the old one too.
func (c *Control) crashedBy(m *move) int {
	n := map[uint64]bool{}
	for _, x := range c.crashes {
		if x.service == m.config.Service() && x.version == m.config.To() {
			n[x.fingerprint] = true
		}
	}
	for _, x := range c.crashes {
		if x.service == m.config.Service() && x.version == m.config.From() {
			delete(n, x.fingerprint)
		}
	}
	return len(n)
}

func (c *Control) crashMessages(now time.Time) []*cowslipmessage.Crash {
	var l []*cowslipmessage.Crash
	for _, x := range c.crashes {
		l = append(l, &cowslipmessage.Crash{Fingerprint: x.fingerprint, Incident: x.incident, Service: x.service, Version: x.version, AgeMillis: now.Sub(x.at).Milliseconds()})
	}
	return l
}
