package entry

// PlanResult tells what a text would change.
type PlanResult struct {
	Base     uint64   `json:"base"`
	Diff     string   `json:"diff"`
	Changes  []string `json:"changes"`
	Warnings []string `json:"warnings,omitempty"`
}
