package roster

// Change is a batch of news about workers.
type Change struct {
	// Workers were added or have changed.
	Workers []Worker
	// Removed lists ids that are no longer registered.
	Removed []string
	// Version is where the next call resumes.
	Version uint64
	// More says that there may be more news already.
	More bool
}
