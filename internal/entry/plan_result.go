package entry

// PlanResult describes the changes that applying a configuration would make.
type PlanResult struct {
	Base     uint64   `json:"base"`
	Diff     string   `json:"diff"`
	Changes  []string `json:"changes"`
	Warnings []string `json:"warnings,omitempty"`
}
