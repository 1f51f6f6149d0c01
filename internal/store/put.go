package store

// Put sets the value of a row.
type Put struct {
	Table string
	// Partition is that of the row, or empty for that of the transaction.
	Partition string
	Key       string
	Value     []byte
}
