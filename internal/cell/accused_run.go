package cell

import "slices"

// accusedRun is a run that may have ended its worker.
type accusedRun struct {
	task *task
	run  uint64
	// confirmed says that the run is known to have begun.
	confirmed bool
	// atOnce says that the worker fell silent as soon as the run had begun.
	atOnce bool
}

// stands reports whether the accusation holds still: no other run of the task has been
// seen at work since.
func (r accusedRun) stands() bool { return slices.Contains(r.task.suspicion.open, r.run) }

// begun reports whether the run counts as one that has begun.
func (r accusedRun) begun() bool { return r.confirmed || r.task.suspicion.isDoubtless() }

// repeated reports whether other workers were lost under the task, too.
func (r accusedRun) repeated() bool { return r.task.suspicion.losses() > 1 }
