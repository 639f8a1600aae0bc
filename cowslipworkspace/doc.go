// Package cowslipworkspace finds the workspace of a caller by its key.
package cowslipworkspace
