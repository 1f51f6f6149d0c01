package httpwire

// GetRequest is the body of a get call.
type GetRequest struct {
	Key string `json:"key"`
}
