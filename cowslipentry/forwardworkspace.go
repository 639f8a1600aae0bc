package cowslipentry

import "cowslipflow/cowslipworkspace"

// identify sets the request's workspace, before anything of the request is sent. It reports
// false, with the reply to the caller, if the request may not be served.
func (f *forward) identify() (Reply, bool) {
	d := f.view.Workspaces()
	switch {
	case f.route.Config().Public():
		return Reply{}, true
	case f.request.relayed:
		f.workspace, _ = d.Named(f.request.workspace)
		if f.workspace == nil && d.KeyRequired() {
			// The sender has checked the caller's key by its configuration, which has
			// changed here since the request was accepted. It is no reason to tell the
			// caller that its key is wrong.
			return notRunReply("the configuration has changed while the request was passed on", shortRetryAfter), false
		}
		return Reply{}, true
	}
	ok := false
	if f.workspace, ok = workspaceOfKey(d, f.request.Key); ok {
		return Reply{}, true
	}
	x := Reply{Kind: ReplyUnauthorized, Reason: unauthorizedReason}
	f.metrics.unauthorized.Add(1)
	f.metrics.routes.observe(f.route.Config().Name(), x, f.clock.Since(f.start), 0, 0)
	f.log.Info("requestUnauthorized", "id", f.request.ID, "route", f.route.Config().Name(), "caller", f.request.Caller, "hasKey", f.request.Key != "", "revision", f.view.Revision())
	return x, false
}

// unauthorizedReason is why a request without a key in force is refused.
const unauthorizedReason = "the key is missing or not in force"

// workspaceOfKey returns the workspace of a caller's key, nil if there is none, and whether a
// request with the key may be served on a route that is not public.
func workspaceOfKey(d *cowslipworkspace.Directory, key string) (*cowslipworkspace.Workspace, bool) {
	w, ok := d.Find(key)
	return w, ok || !d.KeyRequired()
}

// workspaceName returns the name of the request's workspace, empty if it has none.
func (f *forward) workspaceName() string {
	if f.workspace == nil {
		return ""
	}
	return f.workspace.Name()
}

// priority returns the rank of the request under overload, 0 for the most urgent: that of
// its workspace or, if it has none, of its route.
func (f *forward) priority() int {
	if f.workspace != nil {
		if p, ok := f.workspace.Priority(); ok {
			return p
		}
	}
	return f.route.Config().Priority()
}

// observeWorkspace counts how a request of a workspace ended. One that was relayed to this
// instance is counted by the sender.
func (f *forward) observeWorkspace(x Reply) {
	if f.workspace != nil && !f.request.relayed {
		f.metrics.workspaces.observe(f.workspace.Name(), x.Kind)
	}
}
