package job

import "time"

// AdviceCost tells how long the placement adviser takes for a queue, and how
// long its tickets are valid.
type AdviceCost struct {
	// PerCall is the fixed duration of a call.
	PerCall time.Duration `cbor:"1,keyasint"`
	// PerWorker is added for each worker asked about.
	PerWorker time.Duration `cbor:"2,keyasint"`
	// TicketTTL is how long a ticket may be used.
	TicketTTL time.Duration `cbor:"3,keyasint"`
}

// Duration returns how long a call about a number of workers takes.
func (c *AdviceCost) Duration(workers int) time.Duration {
	return c.PerCall + time.Duration(workers)*c.PerWorker
}
