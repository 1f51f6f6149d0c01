package idempotency

import "time"

// Record is what is kept of a key.
type Record struct {
	State State `json:"state"`
	// At is when the key was first seen.
	At time.Time `json:"at"`
	// Process let the request go; a record without an end that another
	// process made has an unknown outcome.
	Process string `json:"process"`
	// Response is the answer, kept for repeats if it was small.
	Response *Response `json:"response,omitempty"`
}
