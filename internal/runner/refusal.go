package runner

import "fmt"

// Refusal says that the worker answered and did nothing.
type Refusal struct {
	Reason RefusalReason
}

// Error implements the error interface.
func (r *Refusal) Error() string { return fmt.Sprintf("the worker refused: %s", r.Reason) }
