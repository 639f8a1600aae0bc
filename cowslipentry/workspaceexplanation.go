package cowslipentry

// WorkspaceExplanation is how the workspace of a request is found. It does not contain the key.
type WorkspaceExplanation struct {
	Name     string `json:"name,omitempty"` // empty if there is none
	Key      string `json:"key"`            // "none", "known", "unknown", or "ignored" on public routes
	Required bool   `json:"required"`       // whether the request is refused without a key that is known
}
