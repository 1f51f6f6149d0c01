package cell

// WorkerChunk is a part of the known workers, to be stored.
type WorkerChunk struct {
	Number  int
	Workers []KnownWorker
	// Version is the stored value this one replaces, 0 for none.
	Version uint64
}
