package worker

// RequestState is the state of a request on its worker, as reported to an owner that does
// not know it.
type RequestState string

// The states of a request.
const (
	RequestRunning  RequestState = "running"
	RequestFinished RequestState = "finished"
	// RequestRevoked means that the request had not arrived and will never be executed.
	RequestRevoked RequestState = "revoked"
)
