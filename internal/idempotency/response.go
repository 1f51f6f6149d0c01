package idempotency

import "net/http"

// Response is an upstream's answer, kept so that a repeat gets it too.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}
