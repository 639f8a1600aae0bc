// Package cowslipconfig parses and validates the operators' configuration: the
// services and their dependencies, the failure domains, the caller classes, the
// routes, the workspaces, and the moves between versions.
//
// The configuration is TOML, and unknown keys are errors. Every problem is
// reported with its line, its field, a message and a hint how to correct it. A
// configuration with any problem yields no Config, so it is never applied in
// part.
package cowslipconfig
