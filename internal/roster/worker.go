// Package roster declares the list of workers that register themselves.
package roster

import (
	"time"

	"gentianstand/internal/resource"
	"gentianstand/internal/runner"
)

// Worker is one incarnation of a worker as it describes itself.
type Worker struct {
	ID string
	// Incarnation tells the worker's incarnations under one id apart.
	Incarnation runner.Incarnation
	Address     string
	Zone        string
	Service     string
	// Draining says that the worker takes no new tasks and will leave.
	Draining bool
	// Remaining is how long a draining worker stays at least.
	Remaining time.Duration
	Capacity  resource.Amount
	// Labels are the worker's kind and its rack.
	Labels []string
	// Rack is the label that names the rack, or empty.
	Rack string
}

// HasLabel reports whether the worker carries a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
