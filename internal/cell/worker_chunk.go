package cell

// WorkerChunk is one chunk of the known workers to store.
type WorkerChunk struct {
	Number  int
	Workers []KnownWorker
}
