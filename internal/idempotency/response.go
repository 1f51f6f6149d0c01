package idempotency

import "net/http"

// Response is an upstream's response, stored so that retries get the same one.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
