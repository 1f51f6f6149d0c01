package store

// Check demands that a row has a version; 0 demands that it does not exist.
type Check struct {
	Table   string
	Key     string
	Version uint64
}
