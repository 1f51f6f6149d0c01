package store

// RowKey names a row of the transaction's partition.
type RowKey struct {
	Table string
	Key   string
}
