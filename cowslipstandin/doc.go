// Package cowslipstandin provides fakes of the platform and of targets. Each can
// inject faults and records the requests that it received. They are for tests, demos
// and measurements only.
package cowslipstandin
