package platform

// Tx is a transaction: a conditional write of several rows.
type Tx struct {
	// ID is unique and chosen by the writer, so that the writer can recognize its own rows
	// after a lost response.
	ID     string  `json:"id"`
	Checks []Check `json:"checks,omitempty"`
	Puts   []Put   `json:"puts,omitempty"`
	// Deletes lists the keys of rows to delete.
	Deletes []string `json:"deletes,omitempty"`
}
