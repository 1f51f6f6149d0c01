package cell

// WorkerChunk is a part of the list of known workers that is stored as one row.
type WorkerChunk struct {
	Number  int
	Workers []KnownWorker
}
