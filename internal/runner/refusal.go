package runner

import "fmt"

// Refusal says that the worker answered and did nothing.
type Refusal struct {
	Reason RefusalReason
	// Repeated says that the order was sent before without an answer. That one may
	// have been carried out, or may be yet.
	Repeated bool
}

// Error implements the error interface.
func (r *Refusal) Error() string { return fmt.Sprintf("the worker refused: %s", r.Reason) }
