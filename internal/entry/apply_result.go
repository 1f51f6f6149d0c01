package entry

// ApplyResult is the response to an applied configuration.
type ApplyResult struct {
	Number   uint64   `json:"number"`
	Author   string   `json:"author"`
	Warnings []string `json:"warnings,omitempty"`
}
