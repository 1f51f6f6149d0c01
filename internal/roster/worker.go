// Package roster declares the list of workers that have registered themselves.
package roster

import (
	"time"

	"gentianstand/internal/resource"
	"gentianstand/internal/runner"
)

// Worker is one incarnation of a worker, as the worker registered itself.
type Worker struct {
	ID string
	// Incarnation distinguishes the incarnations of one id.
	Incarnation runner.Incarnation
	Address     string
	Zone        string
	Service     string
	// Draining means that the worker accepts no new tasks and will leave.
	Draining bool
	// Remaining is the minimum time for which a draining worker stays.
	Remaining time.Duration
	Capacity  resource.Amount
	// Labels are the worker's kind and its rack.
	Labels []string
	// Rack is the label that identifies the rack, or empty.
	Rack string
}

// HasLabel reports whether the worker has a label.
func (w *Worker) HasLabel(label string) bool {
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
