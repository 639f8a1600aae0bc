// Package cowslipstandin provides fakes of the platform and of targets, for tests,
// demos and measurements only. They can inject faults, and they keep a record of the
// calls that they receive.
package cowslipstandin
