package cowslipworkspace

import "cowslipflow/cowslipconfig"

// Workspace is a workspace of the configuration in force. It is immutable.
type Workspace struct{ config cowslipconfig.Workspace }

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.config.Name() }

// Weight returns the workspace's share under overload, relative to the others of its
// priority.
func (w *Workspace) Weight() float64 { return w.config.Weight() }

// Priority returns the rank of the workspace's requests under overload, 0 for the most
// urgent. It reports false if the priority of the route applies.
func (w *Workspace) Priority() (int, bool) { return w.config.Priority() }
