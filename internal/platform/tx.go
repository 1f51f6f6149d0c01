package platform

// Tx is a conditional write of several rows.
type Tx struct {
	// ID is chosen by the writer and unique, so that the writer can
	// recognise its own rows after a lost answer.
	ID     string  `json:"id"`
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts,omitempty"`
	// Deletes lists keys to remove.
	Deletes []string `json:"deletes,omitempty"`
}
