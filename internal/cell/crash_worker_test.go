package cell

import (
	"fmt"
	"maps"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// crashWorker is the fault state of one incarnation of a worker.
type crashWorker struct {
	crashAt   time.Time
	restartAt time.Time
	replaced  bool
	// unreachable is set while no call reaches the worker; its runs continue until the lease
	// expires.
	unreachable bool
	lease       time.Time
}

// advanceWorker has a worker run its tasks, crash, restart or end its runs with the lease.
func (w *crashWorld) advanceWorker(id string) {
	worker, state := w.workers[id], w.states[id]
	switch {
	case !state.crashAt.IsZero() && !w.now.Before(state.crashAt) && state.restartAt.IsZero():
		w.crash(id)
	case !state.restartAt.IsZero():
		if !state.replaced && !w.now.Before(state.restartAt) {
			w.replace(id)
		}
	case state.unreachable && w.now.After(state.lease):
		for task, r := range maps.Clone(worker.runs) {
			worker.end(task, r.run, runner.LeaseExpired)
		}
	default:
		w.work(worker)
	}
}

func (w *crashWorld) crash(id string) {
	worker, state := w.workers[id], w.states[id]
	for task := range worker.runs {
		w.crashes[task]++
	}
	lost := worker.runs
	worker.runs, worker.ends = map[string]*loadRun{}, nil
	w.breakGangs(lost)
	state.restartAt = w.now.Add(w.restartAfter)
	if w.onCrash != nil {
		w.onCrash()
	}
}

// breakGangs ends the members on other workers of gangs that lost some.
func (w *crashWorld) breakGangs(lost map[string]*loadRun) {
	broken := map[string]bool{}
	for task := range lost {
		id, err := job.ParseTaskID(task)
		if err != nil {
			w.t.Fatal(err)
		}
		broken[id.Job] = w.records[id.Job].Steps[id.Step].Gang
	}
	for _, worker := range w.workers {
		for task, r := range maps.Clone(worker.runs) {
			if id, err := job.ParseTaskID(task); err == nil && broken[id.Job] {
				worker.end(task, r.run, runner.GangBroken)
			}
		}
	}
}

// replace registers a new incarnation of a worker at its address.
func (w *crashWorld) replace(id string) {
	old := w.workers[id]
	w.incarnations++
	r := old.roster
	r.Incarnation = runner.Incarnation(w.now.UnixMilli())
	if w.sameIDs {
		w.workers[id] = &loadWorker{roster: r, runs: map[string]*loadRun{}, startedAt: w.now}
		w.states[id] = &crashWorker{lease: w.now}
		if w.rnd.Intn(2) == 0 {
			w.register(id)
		} else {
			w.unregistered = append(w.unregistered, id)
		}
		return
	}
	w.states[id].replaced = true
	r.ID = fmt.Sprintf("%s-%d", r.Address, w.incarnations)
	if w.newAddress {
		r.Address = fmt.Sprintf("elsewhere-%d:1", w.incarnations)
	}
	w.workers[r.ID] = &loadWorker{roster: r, runs: map[string]*loadRun{}, startedAt: w.now}
	w.states[r.ID] = &crashWorker{lease: w.now}
	w.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{r}, Removed: []string{id}}, w.now)
}

// registerLate has a restarted worker write its roster entry late.
func (w *crashWorld) registerLate() {
	if len(w.unregistered) > 0 && w.rnd.Intn(50) == 0 {
		w.register(w.unregistered[0])
		w.unregistered = w.unregistered[1:]
	}
}

func (w *crashWorld) poll(id string) {
	state := w.states[id]
	target, poll, ok := w.cell.NextPoll(id, w.now)
	switch {
	case !ok:
	case state.replaced && !w.newAddress:
		w.cell.PollFailed(id, runner.ErrIncarnationGone, w.now)
	case state.unreachable || !state.restartAt.IsZero():
		w.cell.PollFailed(id, runner.ErrNoAnswer, w.now)
	default:
		if poll.LeaseUntil != nil && target.Incarnation == w.workers[id].roster.Incarnation {
			w.extendLease(id, *poll.LeaseUntil)
		}
		w.report(w.workers[id])
	}
}

// extendLease extends a worker's lease to a time on its clock.
func (w *crashWorld) extendLease(id string, until time.Duration) {
	if end := w.workers[id].startedAt.Add(until - clockAtStart); end.After(w.states[id].lease) {
		w.states[id].lease = end
	}
}

// answersNothing reports whether calls to a worker get no answer.
func (w *crashWorld) answersNothing(id string) bool {
	state := w.states[id]
	return state == nil || state.unreachable || !state.restartAt.IsZero()
}

func (w *crashWorld) start(order StartOrder) {
	id, task := order.Worker.ID, order.Start.Task
	if w.answersNothing(id) {
		w.cell.StartAnswered(order, runner.Answer{}, &runner.Refusal{Reason: runner.Unhealthy}, w.now)
		return
	}
	if order.Worker.Incarnation != w.workers[id].roster.Incarnation {
		w.cell.StartAnswered(order, runner.Answer{}, runner.ErrIncarnationGone, w.now)
		return
	}
	w.extendLease(id, order.Start.LeaseUntil)
	if w.crashes[task] >= crashThreshold {
		w.excessStarts[task]++
	}
	if !w.poisonTasks[task] {
		w.carryOut(order)
		return
	}
	w.states[id].crashAt = w.now.Add(crashAfter)
	w.workers[id].runs[task] = w.newRun(order, w.workers[id])
	var lost error
	if w.answersLost {
		lost = runner.ErrNoAnswer
	}
	w.cell.StartAnswered(order, runner.Answer{}, lost, w.now)
}
