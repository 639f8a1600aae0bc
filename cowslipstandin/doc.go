// Package cowslipstandin holds small fakes of what surrounds cowslipflow: the
// platform and targets. Each has switches for its faults and keeps its own
// record of what it did. They are for tests, demos and measurements only.
package cowslipstandin
