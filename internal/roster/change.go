package roster

// Change is a batch of updates to the list of workers.
type Change struct {
	// Workers are the workers that were added or changed.
	Workers []Worker
	// Removed lists the ids of workers that are no longer registered.
	Removed []string
	// Version is the version from which the next call continues.
	Version uint64
	// More reports that further updates may already be available.
	More bool
}
