package platform

// Check is a precondition of a transaction: the row must have the version, or must not
// exist if the version is 0.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}
