package entry

import "net/http"

// statusRecorder notes the status of an answer as it passes.
type statusRecorder struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements http.ResponseWriter.
func (r *statusRecorder) WriteHeader(status int) {
	r.status = status
	r.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController reach the writer below.
func (r *statusRecorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }
