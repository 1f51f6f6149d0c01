package idempotency

import "time"

// Record is the stored state of a key.
type Record struct {
	State State `json:"state"`
	// At is when the key was first seen.
	At time.Time `json:"at"`
	// Process is the process that sent the request. A record without an end
	// from another process has an unknown outcome.
	Process string `json:"process"`
	// Response is the upstream's response, stored for retries if it was small.
	Response *Response `json:"response,omitempty"`
}
