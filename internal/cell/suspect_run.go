package cell

import "slices"

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	task *task
	run  uint64
	// confirmed says that the run is known to have begun.
	confirmed bool
	// immediate says that the worker fell silent as soon as the run had begun.
	immediate bool
}

// cleared reports whether another run of the task has survived since.
func (r suspectRun) cleared() bool { return !slices.Contains(r.task.crashes.unresponsive, r.run) }

// hasBegun reports whether the run counts as one that has hasBegun.
func (r suspectRun) hasBegun() bool { return r.confirmed || r.task.crashes.lostMany() }

// repeated reports whether other workers were lost under the task, too.
func (r suspectRun) repeated() bool { return r.task.crashes.losses() > 1 }
