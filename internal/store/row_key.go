package store

// RowKey identifies a row of the transaction's partition.
type RowKey struct {
	Table string
	Key   string
}
