package job

import "time"

// AdviceCost describes how long the placement adviser takes for a queue's calls, and how
// long its tickets are valid.
type AdviceCost struct {
	// PerCall is the fixed part of a call's duration.
	PerCall time.Duration `cbor:"1,keyasint"`
	// PerWorker is the additional duration for each worker in the call.
	PerWorker time.Duration `cbor:"2,keyasint"`
	// TicketTTL is how long a ticket stays valid.
	TicketTTL time.Duration `cbor:"3,keyasint"`
}

// Duration returns how long a call about the given number of workers takes.
func (c *AdviceCost) Duration(workers int) time.Duration {
	return c.PerCall + time.Duration(workers)*c.PerWorker
}
