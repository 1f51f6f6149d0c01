package store

// Check is a precondition of a transaction: the row must have this version, or must not exist
// if the version is 0.
type Check struct {
	Table   string
	Key     string
	Version uint64
}
