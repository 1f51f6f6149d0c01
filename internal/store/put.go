package store

// Put sets the value of a row.
type Put struct {
	Table string
	// Partition is the partition of the row, or empty for the transaction's partition.
	Partition string
	Key       string
	Value     []byte
}
