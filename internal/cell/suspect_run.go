package cell

import "slices"

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	task *task
	run  uint64
	// confirmed is set if the run is known to have begun.
	confirmed bool
	// immediate is set if the worker became unresponsive as soon as the run had begun.
	immediate bool
	// later is set if the worker became unresponsive some time after that. Neither is set if
	// the times are not known.
	later bool
}

// cleared reports whether another run of the task has survived since, or the loss was
// reverted.
func (r suspectRun) cleared() bool { return !slices.Contains(r.task.crashes.unresponsive, r.run) }

// hasBegun reports whether the run counts as begun, even if its start was never confirmed.
func (r suspectRun) hasBegun() bool { return r.confirmed || r.task.crashes.lostMany() }

// repeated reports whether other workers were also lost under the task.
func (r suspectRun) repeated() bool { return r.task.crashes.losses() > 1 }
