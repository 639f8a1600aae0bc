// Package cowslipconfig reads the operators' text: the services, what each
// depends on, the failure domains, the callers' classes and the moves between
// versions.
//
// The text is TOML, decoded strictly. Every problem is reported with its line,
// its field, what is wrong and what would be right. A text with any problem
// yields no Config, so nothing of it can be applied.
package cowslipconfig
