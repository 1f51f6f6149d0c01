package cell

import (
	"cmp"
	"slices"
	"time"
)

// provenAfter is how long a run must have been seen at work to count as one that does not
// end its worker. A task that does so does it at once; longer would hold more workers for
// trials.
const provenAfter = 500 * time.Millisecond

// strangerWeight makes a run of another job that is starting count more, on a worker for a
// trial, than any number of runs that are proven: it could be taken for the culprit's work.
const strangerWeight = 1000

// prove takes in that a run was seen at work: a task that ended its workers would have
// ended this one.
func (c *Cell) prove(a *attempt, now time.Time) {
	if a.proven || now.Sub(a.confirmedAt) < provenAfter {
		return
	}
	a.proven = true
	c.absolve(a.task)
}

// absolve ends the suspicion against a task: one of its runs did not end its worker.
func (c *Cell) absolve(t *task) {
	if t.suspicion.any() {
		t.suspicion.clear()
		c.dirty[t.stage.job] = struct{}{}
	}
}

// onTrial reports whether a run may end its worker.
func (a *attempt) onTrial() bool { return !a.proven && a.task.suspicion.any() }

// markTrials notes on each worker whose task is on trial there. Nothing of another job is
// started beside it: it would be lost with the worker, and could be taken for the culprit.
func (c *Cell) markTrials() {
	for a := range c.trials {
		if !a.onTrial() {
			delete(c.trials, a)
			continue
		}
		a.worker.trial = a.task.stage.job
	}
}

// beginTrial puts a new run on trial if its task is under suspicion.
func (c *Cell) beginTrial(a *attempt) {
	if a.onTrial() {
		c.trials[a] = struct{}{}
		a.worker.trial = a.task.stage.job
	}
}

// open reports whether a job's tasks may be started on a worker beside a trial.
func (w *worker) open(j *jobState) bool { return w.trial == nil || w.trial == j }

// strangers tells how much a trial of a job on a worker puts at risk.
func (w *worker) strangers(j *jobState) int {
	n := 0
	for a := range w.attempts {
		switch {
		case a.task.stage.job == j:
		case a.proven:
			n++
		default:
			n += strangerWeight
		}
	}
	return n
}

// pickForTrial returns the candidate on which a task under suspicion puts least at risk,
// or -1.
func (c *Cell) pickForTrial(s *stage, t *task, fitting []candidate, now time.Time) int {
	need := s.step.Occupied()
	best, least := -1, 0
	for i := range fitting {
		w := fitting[i].w
		if !need.Fits(w.free()) || !c.eligible(s, w) || !t.mayTake(w) || !c.leftFor(s, w, now) {
			continue
		}
		if n := w.strangers(s.job); best < 0 || n < least {
			best, least = i, n
		}
	}
	return best
}

// leastAtRisk sorts the candidates for a gang with a task under suspicion.
func (s *stage) leastAtRisk(fitting []candidate) []candidate {
	if !slices.ContainsFunc(s.tasks, func(t *task) bool { return t.suspicion.any() }) {
		return fitting
	}
	sorted := slices.Clone(fitting)
	slices.SortStableFunc(sorted, func(a, b candidate) int { return cmp.Compare(a.w.strangers(s.job), b.w.strangers(s.job)) })
	return sorted
}

// pauses reports whether a stage has nothing to start now because workers were lost under
// its tasks time and again. A gang starts whole.
func (s *stage) pauses(now time.Time) bool {
	pausing := 0
	for _, index := range s.idle {
		if s.tasks[index].suspicion.pauses(now) {
			pausing++
		}
	}
	return pausing > 0 && (s.step.Gang || pausing == len(s.idle))
}
