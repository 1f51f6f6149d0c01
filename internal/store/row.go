package store

// Row is one row of a table. Version 0 means that the row does not exist.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   uint64
	// Removed is set for a removed row in a feed.
	Removed bool
}
