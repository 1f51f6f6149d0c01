package cell

import "slices"

// suspectRun is a run that may have crashed its worker.
type suspectRun struct {
	task *task
	run  uint64
	// confirmed says that the run is known to have begun.
	confirmed bool
	// atOnce says that the worker fell silent as soon as the run had begun.
	atOnce bool
}

// cleared reports whether another run of the task has survived since.
func (r suspectRun) cleared() bool { return !slices.Contains(r.task.crashes.silent, r.run) }

// begun reports whether the run counts as one that has begun.
func (r suspectRun) begun() bool { return r.confirmed || r.task.crashes.lostMany() }

// repeated reports whether other workers were lost under the task, too.
func (r suspectRun) repeated() bool { return r.task.crashes.losses() > 1 }
