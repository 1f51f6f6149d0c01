package store

// Row is one row. Version 0 means that there is none.
type Row struct {
	Table     string
	Partition string
	Key       string
	Value     []byte
	Version   uint64
	// Removed marks a removed row in a feed.
	Removed bool
}
