package cell

// FoundVersions are the versions that a failed commit found in the store.
type FoundVersions struct {
	// Jobs has the versions of progress by job, Chunks those of known workers by
	// the number of the chunk.
	Jobs   map[string]uint64
	Chunks map[int]uint64
}
