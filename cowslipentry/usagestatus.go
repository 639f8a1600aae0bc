package cowslipentry

import (
	"cmp"
	"encoding/json"
	"expvar"
	"slices"
	"strconv"
	"strings"
	"time"

	"cowslipflow/cowslipadmission"
	"cowslipflow/cowslipcontrol"
	"cowslipflow/cowslipusage"
)

// InstanceStatus is the answer to GET /v1/status.
type InstanceStatus struct {
	cowslipcontrol.Status
	Usage     *UsageStatus                       `json:"usage,omitempty"`     // nil if usage is not reported
	Admission map[string]cowslipadmission.Status `json:"admission,omitempty"` // by pool; those that admission is in use for

	StoreProblems StoreProblems `json:"storeProblems"` // values of the store that were changed or left out
}

// UsageStatus is what an instance knows of the reports of usage.
type UsageStatus struct {
	Holder     string    `json:"holder"` // ID of the instance that reports, empty if none is known
	Token      uint64    `json:"token"`
	LastWindow int64     `json:"lastWindow"` // the last one whose report is in the store, 0 if none is known
	LastEnded  time.Time `json:"lastEnded"`  // when it ended
}

// UsageReport is the answer to GET /v1/usage.
type UsageReport struct {
	UsageStatus
	Holds            bool                          `json:"holds"` // whether this instance is the holder
	Windows          map[int64]cowslipusage.Counts `json:"windows"`
	LastReport       json.RawMessage               `json:"lastReport,omitempty"` // what this instance reported last as the holder
	Reports          *cowslipusage.ReporterCounts  `json:"reports,omitempty"`    // since it became the holder
	StoreCalls       int64                         `json:"storeCalls"`
	CorrectionMillis int64                         `json:"correctionMillis"` // of the time of this process
}

// usageStatus returns the status of the reports of usage, nil if they are off.
func (e *Entry) usageStatus() *UsageStatus {
	if e.usage == nil {
		return nil
	}
	h, token, _ := e.usage.holder()
	s := &UsageStatus{Holder: h.ID, Token: token}
	for _, v := range valuesBelow(e.mirror.Values(), cowslipusage.ReportsPrefix) {
		if k, err := strconv.ParseInt(strings.TrimPrefix(v.Key, cowslipusage.ReportsPrefix), 10, 64); err == nil && k > s.LastWindow {
			s.LastWindow, s.LastEnded = k, cowslipusage.WindowEnd(k, e.usage.options.Window)
		}
	}
	return s
}

// usageReport returns the counts of the open windows: of all instances at the holder, and
// of this instance alone at the others.
func (e *Entry) usageReport() *UsageReport {
	s := e.usageStatus()
	if s == nil {
		return nil
	}
	u := e.usage
	d, _ := u.counter.Correction()
	r := &UsageReport{UsageStatus: *s, Windows: u.counter.Windows(), CorrectionMillis: d.Milliseconds()}
	u.mu.Lock()
	defer u.mu.Unlock()
	r.StoreCalls = u.storeCalls
	if u.reporter == nil {
		return r
	}
	n := u.reporter.Counts()
	r.Holds, r.Windows, r.Reports = true, u.collector.Windows(), &n
	_, r.LastReport, _ = u.reporter.Last()
	return r
}

// usageVar returns the metric of usage.
func usageVar(u *usage) expvar.Var {
	return expvar.Func(func() any {
		r := u.usageReport()
		for k, l := range r.Windows {
			r.Windows[k] = busiest(l)
		}
		var last struct {
			Window int64               `json:"window"`
			Counts cowslipusage.Counts `json:"counts"`
		}
		if json.Unmarshal(r.LastReport, &last) == nil {
			last.Counts = busiest(last.Counts)
			// Marshaling numbers and strings cannot fail.
			r.LastReport, _ = json.Marshal(last)
		}
		return r
	})
}

// busiest returns the counts of the workspaces with the most requests, and the sum of the
// others as otherWorkspaces, which is not the name of a workspace.
func busiest(l cowslipusage.Counts) cowslipusage.Counts {
	if len(l) <= maxWorkspaceMetrics {
		return l
	}
	names := make([]string, 0, len(l))
	for w := range l {
		names = append(names, w)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(l[b], l[a]), strings.Compare(a, b))
	})
	m := cowslipusage.Counts{}
	for i, w := range names {
		if i >= maxWorkspaceMetrics {
			w = otherWorkspaces
		}
		m[w] += l[names[i]]
	}
	return m
}
