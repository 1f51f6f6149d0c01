package cell

import (
	"maps"
	"slices"
	"time"

	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// modelWorker simulates one incarnation of a worker as the platform specifies it.
type modelWorker struct {
	model  *model
	roster roster.Worker
	alive  bool
	// startedAt is when its clock showed 0.
	startedAt time.Time
	// repliesLost is set while its answers are lost.
	repliesLost bool
	// ordersLost is set while it receives no starts and stops, but polls.
	ordersLost bool
	token      uint64
	leaseEnd   time.Duration
	runs       map[string]*modelRun
	highest    map[string]uint64
	ends       []runner.End
	// reportedEnds is the number of ends that the present owner knows from a report or from the store,
	// and storedEnds of those that are stored.
	reportedEnds, storedEnds int
	sequence                 uint64
	// expiredThrough is the sequence number of the last end before the lease expired. The platform
	// does not count such ends as acknowledged: the task may have been started again.
	expiredThrough uint64
}

type modelRun struct {
	run  uint64
	stop bool
}

// clock returns the time on the worker's own clock, which is 2% slow.
func (w *modelWorker) clock() time.Duration {
	return time.Duration(float64(w.model.now.Sub(w.startedAt)) * (1 - maxClockDrift)).Truncate(time.Millisecond)
}

// expireLease ends all runs when the lease has expired.
func (w *modelWorker) expireLease() {
	if w.clock() < w.leaseEnd {
		return
	}
	for _, task := range slices.Sorted(maps.Keys(w.runs)) {
		w.end(task, w.runs[task].run, runner.LeaseExpired)
	}
	w.expiredThrough = w.sequence
}

func (w *modelWorker) end(task string, run uint64, kind runner.EndKind) {
	delete(w.runs, task)
	w.sequence++
	w.ends = append(w.ends, runner.End{Sequence: w.sequence, Task: task, Run: run, Kind: kind})
	w.model.runEnded(w, task)
	if kind == runner.Done {
		w.model.succeeded[task] = true
	}
}

// poll answers a poll that is addressed to one incarnation.
func (w *modelWorker) poll(incarnation runner.Incarnation, poll runner.Poll) (runner.Report, error) {
	w.expireLease()
	if !w.alive {
		return runner.Report{}, runner.ErrIncarnationGone
	}
	if incarnation != w.roster.Incarnation {
		poll.LeaseUntil, poll.Acknowledged = nil, 0
	}
	if poll.Token < w.token {
		return runner.Report{}, &runner.Refusal{Reason: runner.Fenced}
	}
	w.token = poll.Token
	if poll.LeaseUntil != nil {
		w.leaseEnd = max(w.leaseEnd, min(*poll.LeaseUntil, w.clock()+6*time.Second))
	}
	for len(w.ends) > 0 && w.ends[0].Sequence <= poll.Acknowledged {
		if w.ends[0].Sequence > w.expiredThrough {
			w.model.acknowledged(w.ends[0])
		}
		w.ends = w.ends[1:]
		w.reportedEnds = max(0, w.reportedEnds-1)
		w.storedEnds = max(0, w.storedEnds-1)
	}
	report := runner.Report{Incarnation: w.roster.Incarnation, Clock: w.clock(), Ended: append([]runner.End(nil), w.ends...)}
	for task, r := range w.runs {
		report.Running = append(report.Running, runner.RunState{Task: task, Run: r.run, Percent: 10})
	}
	return report, nil
}

func (w *modelWorker) start(s runner.Start) error {
	w.expireLease()
	if !w.alive {
		return runner.ErrIncarnationGone
	}
	if s.Token < w.token {
		return &runner.Refusal{Reason: runner.Fenced}
	}
	w.token = s.Token
	if r := w.runs[s.Task]; r != nil && r.run == s.Run {
		return nil
	}
	if s.Run <= w.highest[s.Task] {
		return &runner.Refusal{Reason: runner.RunTooOld}
	}
	w.leaseEnd = max(w.leaseEnd, min(s.LeaseUntil, w.clock()+6*time.Second))
	if w.leaseEnd <= w.clock() || s.LeaseUntil <= w.clock() && !w.model.lateByLease {
		return &runner.Refusal{Reason: runner.OrderExpired}
	}
	if w.ticketExpired(s) {
		return &runner.Refusal{Reason: runner.BadTicket}
	}
	w.highest[s.Task] = s.Run
	w.runs[s.Task] = &modelRun{run: s.Run}
	w.model.runStarted(w, s.Task)
	return nil
}

func (w *modelWorker) stop(s runner.Stop) error {
	w.expireLease()
	if !w.alive {
		return runner.ErrIncarnationGone
	}
	if s.Token < w.token {
		return &runner.Refusal{Reason: runner.Fenced}
	}
	w.token = s.Token
	w.highest[s.Task] = max(w.highest[s.Task], s.Run)
	if r := w.runs[s.Task]; r != nil && r.run == s.Run {
		r.stop = true
	}
	return nil
}
