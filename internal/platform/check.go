package platform

// Check demands that a row has a version; 0 demands that it does not exist.
type Check struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}
