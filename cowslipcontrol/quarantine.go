package cowslipcontrol

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cowslipflow/cowslipmessage"
	"cowslipflow/cowsliproute"
)

const (
	// quarantineTime is how long after its last crash a request is held.
	quarantineTime = 10 * time.Minute
	// maxCrashRecords bounds the table of crashes; the oldest go first.
	maxCrashRecords = 4096
)

// crash is a row of the table of requests that took a target down.
type crash struct {
	fingerprint      uint64
	incident         string // the request, the same for all targets it took down
	endedRun         string // the target's run that ended, the same for all requests under way
	service, version string
	at               time.Time
}

// Crash describes how a request took a target down.
type Crash struct {
	Fingerprint uint64
	Incident    string // unique for the request, not for its sub-requests
	Target      *cowsliproute.Target
	Incarnation string // of the target's run that ended
}

// Crashed notes that a request took a target down. The caller leaves out those
// of a request that another target answered well.
func (c *Control) Crashed(now time.Time, x Crash) {
	i := x.Target.Info()
	c.addCrash(crash{fingerprint: x.Fingerprint, incident: x.Incident, endedRun: i.ID + "/" + x.Incarnation, service: i.Service, version: i.Version, at: now})
	c.effects.Push = true
}

func (c *Control) addCrash(x crash) {
	if t, ok := c.cleared[x.fingerprint]; ok && !x.at.After(t) {
		return
	}
	for _, y := range c.crashes {
		if y.incident == x.incident && y.endedRun == x.endedRun {
			return
		}
	}
	c.crashes = append(c.crashes, x)
	if len(c.crashes) > maxCrashRecords {
		c.crashes = c.crashes[1:]
	}
	c.crashesDirty = true
	c.o.Event("requestCrashedTarget", fmt.Sprintf("%016x", x.fingerprint), "run "+x.endedRun+" request "+x.incident)
}

// ClearSuspect notes that a target answered a suspect request well: what it was
// suspected for had other causes.
func (c *Control) ClearSuspect(now time.Time, fingerprint uint64) {
	c.cleared[fingerprint] = now
	c.crashes = slices.DeleteFunc(c.crashes, func(x crash) bool { return x.fingerprint == fingerprint })
	c.crashesDirty = true
}

// runQuarantine forgets old crashes and judges each fingerprint.
func (c *Control) runQuarantine(now time.Time) {
	n := len(c.crashes)
	c.crashes = slices.DeleteFunc(c.crashes, func(x crash) bool { return now.Sub(x.at) > quarantineTime })
	maps.DeleteFunc(c.cleared, func(_ uint64, t time.Time) bool { return now.Sub(t) > quarantineTime })
	if !c.crashesDirty && len(c.crashes) == n {
		return
	}
	c.crashesDirty = false
	before := c.crashers
	c.crashers = map[uint64]cowsliproute.Verdict{}
	for i, x := range c.crashes {
		c.crashers[x.fingerprint] = max(c.crashers[x.fingerprint], cowsliproute.Suspect)
		if slices.ContainsFunc(c.crashes[:i], x.independent) {
			c.crashers[x.fingerprint] = cowsliproute.Quarantined
		}
	}
	for f, v := range c.crashers {
		if v == cowsliproute.Quarantined && before[f] != v {
			c.o.Event("requestQuarantined", fmt.Sprintf("%016x", f), "for "+quarantineTime.String()+" after its last crash")
		}
	}
	for f, v := range before {
		if v == cowsliproute.Quarantined && c.crashers[f] != v {
			c.o.Event("requestReleased", fmt.Sprintf("%016x", f), "its quarantine is over")
		}
	}
	c.viewDirty = true
}

// independent tells whether two crashes of a fingerprint are neither of the
// same request, sent to many targets, nor of the same death of a target, under
// many requests.
func (x crash) independent(y crash) bool {
	return x.fingerprint == y.fingerprint && x.incident != y.incident && x.endedRun != y.endedRun
}

// countCrashingRequests counts the different requests that crashed a move's new version
// and did not crash the old one too.
func (c *Control) countCrashingRequests(m *move) int {
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
		l = append(l, &cowslipmessage.Crash{Fingerprint: x.fingerprint, Incident: x.incident, Service: x.service, Version: x.version, Death: x.endedRun, AgeMillis: now.Sub(x.at).Milliseconds()})
	}
	return l
}
