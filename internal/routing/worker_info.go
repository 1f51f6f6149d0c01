package routing

// WorkerInfo is the state of a worker that the owner provides for routing.
type WorkerInfo struct {
	ID      string
	Address string
	// Epoch is sent with each request; the worker refuses requests with a lower epoch.
	Epoch uint64
	Slots int
	// OlderRequests is the number of slots held by requests of previous owners.
	OlderRequests int
	// Services lists the services with a running replica, sorted by name.
	Services []string
	// Open reports whether the worker may get new requests.
	Open bool
}
