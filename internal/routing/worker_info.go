package routing

// WorkerInfo is what the owner knows of a worker that matters to requests.
type WorkerInfo struct {
	ID      string
	Address string
	// Epoch goes with each request; the worker refuses a lower one.
	Epoch uint64
	Slots int
	// OlderRequests counts slots held by requests of earlier owners.
	OlderRequests int
	// Services are those with a running replica, sorted.
	Services []string
	// Open says that the worker may get new requests.
	Open bool
}
