package cell

// WorkerChunk is a part of the known workers, to be stored.
type WorkerChunk struct {
	Number  int
	Workers []KnownWorker
}
