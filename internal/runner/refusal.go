package runner

import "fmt"

// Refusal is the error for an order that a worker answered without carrying it out.
type Refusal struct {
	Reason RefusalReason
	// Repeated reports that an earlier attempt to send the order was not answered. That
	// attempt may have been carried out, or may still be.
	Repeated bool
}

// Error implements the error interface.
func (r *Refusal) Error() string { return fmt.Sprintf("the worker refused: %s", r.Reason) }
