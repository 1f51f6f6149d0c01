package entry

// ApplyResult answers an accepted text.
type ApplyResult struct {
	Number   uint64   `json:"number"`
	Author   string   `json:"author"`
	Warnings []string `json:"warnings,omitempty"`
}
