package worker

// RequestState is a worker's word on a request that its owner is unsure of.
type RequestState string

// The states of a request.
const (
	RequestRunning  RequestState = "running"
	RequestFinished RequestState = "finished"
	// RequestRevoked means that it never arrived, and never will be executed.
	RequestRevoked RequestState = "revoked"
)
