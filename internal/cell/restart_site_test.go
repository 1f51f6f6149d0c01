package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// restart restarts a worker under its id; it forgets all runs and ends.
func (s *site) restart(id string) roster.Worker {
	s.advance(time.Second)
	s.runs[id], s.ends[id] = nil, nil
	next := usualWorker(id)
	next.Incarnation = runner.Incarnation(s.now.UnixMilli())
	s.incarnations[id] = next.Incarnation
	return next
}

// register has a worker write its roster entry.
func (s *site) register(w roster.Worker) {
	s.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{w}}, s.now)
}

// startsOfNewJob plans with a new job of some tasks and returns the number of starts.
func (s *site) startsOfNewJob(n, tasks int) int {
	s.cell.Add(s.record(n, step(tasks)), true)
	return len(s.plan())
}

// Guards against two owners that both use a worker which has forgotten their fencing tokens: only
// the owner that can store the incarnation may use it.
func TestRestartedWorkerIsUsedOnlyAfterItIsStored(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.Add(s.record(1, step(1)), true)
	for _, o := range s.plan() {
		s.confirm(o)
		s.finish(o, runner.Done)
	}
	s.report("a")
	s.cell.dirtyChunks.mark("a")
	before := s.cell.NextCommit(40)
	s.register(s.restart("a"))
	s.report("a")
	s.cell.Committed(before)
	if n := s.startsOfNewJob(2, 1); n > 0 {
		t.Errorf("%d starts before the incarnation is stored, want none", n)
	}
	s.commit()
	if n := s.startsOfNewJob(3, 1); n != 2 {
		t.Errorf("%d starts after the incarnation was stored, want 2", n)
	}
}

// Guards against runs on a worker that has less capacity, or other properties, since it restarted.
func TestRestartedWorkerIsUsedOnlyAfterItsOwnRosterEntry(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	next := s.restart("a")
	next.Capacity.MilliCPU = 3000
	s.report("a")
	s.commit()
	if n := s.startsOfNewJob(1, 8); n > 0 {
		t.Errorf("%d starts before the worker's roster entry was read, want none", n)
	}
	s.register(next)
	if n := len(s.plan()); n != 3 {
		t.Errorf("%d starts, want 3", n)
	}
}

// Guards against a worker that is never used again because its earlier incarnation was draining.
func TestRestartedWorkerDoesNotDrain(t *testing.T) {
	leaving := usualWorker("a")
	leaving.Draining = true
	s := newSite(t, 1, leaving)
	s.report("a")
	s.register(s.restart("a"))
	s.register(leaving)
	s.report("a")
	s.plan() // uncordons the worker
	s.commit()
	if n := s.startsOfNewJob(1, 2); n != 2 {
		t.Errorf("%d starts, want 2", n)
	}
}

// Guards against a worker that is never used again because its time of day was set back.
func TestRestartedWorkerWithAnEarlierTimeOfDayIsUsed(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	next := s.restart("a")
	next.Incarnation = runner.Incarnation(siteStart.Add(-time.Hour).UnixMilli())
	s.incarnations["a"] = next.Incarnation
	s.register(next)
	s.report("a")
	s.commit()
	if n := s.startsOfNewJob(1, 2); n != 2 {
		t.Errorf("%d starts, want 2", n)
	}
}

// Guards against dropping the runs of a worker whose time of day was set back because a roster
// entry of the earlier incarnation is read late.
func TestLateEntryOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	before := usualWorker("a")
	s := newSite(t, 1, before)
	s.report("a")
	next := s.restart("a")
	next.Incarnation = runner.Incarnation(siteStart.Add(-time.Hour).UnixMilli())
	s.incarnations["a"] = next.Incarnation
	s.report("a")
	s.register(next)
	s.commit()
	s.cell.Add(s.record(1, step(2)), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	s.register(before)
	if load := s.cell.WorkerLoad("a"); load.Runs != 2 {
		t.Errorf("%d runs are accounted, want 2", load.Runs)
	}
}

// newOwnerOfARestartedWorker returns the site of an owner that has taken over a job of one task. The
// task runs on worker a, which has restarted with its time of day set back; b is idle. outdated is
// the entry of a's earlier incarnation.
func newOwnerOfARestartedWorker(t *testing.T, entries ...roster.Worker) (s *site, outdated roster.Worker) {
	outdated = usualWorker("a")
	current := runner.Incarnation(siteStart.Add(-time.Hour).UnixMilli())
	s = newSite(t, 2, entries...)
	s.incarnations["a"] = current
	r := s.record(1, step(1))
	s.runs["a"] = []runner.RunState{{Task: r.ID + ".0.0.0", Run: 1, Percent: 10}}
	s.cell.Load(r, nil)
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Incarnation: current, Address: outdated.Address},
		{ID: "b", Incarnation: usualWorker("b").Incarnation, Address: "b:1"}}, s.now)
	s.cell.WorkersLoaded()
	return s, outdated
}

// checkRunContinues fails the test if the task on worker a is started again, or is not accounted
// there once the worker has reported.
func (s *site) checkRunContinues() {
	s.t.Helper()
	s.report("b")
	s.commit()
	if starts := s.plan(); len(starts) > 0 {
		s.t.Errorf("%d starts of a task that runs, want none", len(starts))
	}
	s.report("a")
	if load := s.cell.WorkerLoad("a"); load.Runs != 1 {
		s.t.Errorf("%d runs are accounted, want 1", load.Runs)
	}
}

// Guards against a second run of a task: a late entry of an earlier incarnation makes a new owner
// drop the runs of a worker whose time of day was set back.
func TestNewOwnerKeepsRunsDespiteALateEntryOfAnEarlierIncarnation(t *testing.T) {
	for name, reported := range map[string]bool{"after the worker's report": true, "before it": false} {
		t.Run(name, func(t *testing.T) {
			s, outdated := newOwnerOfARestartedWorker(t, usualWorker("b"))
			if reported {
				s.report("a")
			}
			s.register(outdated)
			s.checkRunContinues()
		})
	}
}

// Guards against a second run of a task: the roster that a new owner reads names an earlier
// incarnation of a worker whose time of day was set back.
func TestNewOwnerWaitsForAWorkerWithAnOutdatedRosterEntry(t *testing.T) {
	s, _ := newOwnerOfARestartedWorker(t, usualWorker("a"), usualWorker("b"))
	s.checkRunContinues()
}

// Guards against a worker that is unresponsive for good because it restarted at another address.
func TestUnresponsiveWorkerIsPolledAtTheAddressOfItsNextEntry(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	s.cell.Add(s.record(1, step(1)), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	next := s.restart("a")
	next.Address = "a:2"
	s.register(next)
	if target, _, _ := s.cell.NextPoll("a", s.now); target.Address != "a:1" {
		t.Errorf("a worker that answers is polled at %s, want a:1", target.Address)
	}
	s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
	s.register(next)
	if target, _, _ := s.cell.NextPoll("a", s.now); target.Address != "a:2" {
		t.Errorf("a worker that does not answer is polled at %s, want a:2", target.Address)
	}
	s.report("a")
	if load := s.cell.WorkerLoad("a"); load.Runs != 0 {
		t.Errorf("%d runs are accounted after the restart, want none", load.Runs)
	}
}

// Guards against runs that count as lost on a worker that reported at the moment of its start, when
// its clock shows 0.
func TestWorkerWithAZeroClockKeepsItsLease(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.advance(s.cell.earlierLeaseLimit())
	s.cell.Reported("a", runner.Report{Incarnation: usualWorker("a").Incarnation}, s.now, s.now)
	s.cell.Add(s.record(1, step(2)), true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	s.advance(maxReportAge + 100*time.Millisecond)
	s.plan()
	if load := s.cell.WorkerLoad("a"); load.Runs != 2 {
		t.Errorf("%d runs are accounted before the lease expires, want 2", load.Runs)
	}
}

// Guards against a new owner that waits for runs of an ended incarnation: they are stored for an
// unresponsive worker that has restarted since.
func TestNewOwnerDropsStoredRunsOfAnEarlierIncarnation(t *testing.T) {
	for name, listed := range map[string]bool{"from the roster": true, "from the worker": false} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 2)
			record := s.record(1, step(1))
			s.cell.Load(record, nil)
			before := usualWorker("a")
			next := s.restart("a")
			if listed {
				s.cell.SetRoster([]roster.Worker{next}, s.now)
			} else {
				s.cell.SetRoster([]roster.Worker{before}, s.now)
			}
			task := job.TaskID{Job: record.ID}.String()
			s.cell.LoadWorkers([]KnownWorker{{ID: "a", Incarnation: before.Incarnation, Address: before.Address, Cordoned: true,
				Runs: []KnownRun{{Task: task, Run: 1}}}}, s.now)
			s.cell.WorkersLoaded()
			s.report("a")
			s.register(next)
			s.plan()
			s.commit()
			if starts := s.plan(); len(starts) != 1 {
				t.Errorf("%d starts at once, want 1", len(starts))
			}
		})
	}
}

// Guards against a crash that is lost with the owner: the next owner knows the restarted worker
// from the roster.
func TestNewOwnerCountsTheCrashOfAnEarlierIncarnation(t *testing.T) {
	s := newSite(t, 2)
	record := s.record(1, step(1))
	s.cell.Load(record, &job.Progress{Stages: []job.StageProgress{{Tasks: []job.TaskProgress{{LastRun: 1, LostRuns: []uint64{1}}}}}})
	before := usualWorker("a")
	s.cell.SetRoster([]roster.Worker{s.restart("a")}, s.now)
	task := job.TaskID{Job: record.ID}
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Incarnation: before.Incarnation, Address: before.Address, Cordoned: true,
		Suspects: []KnownRun{{Task: task.String(), Run: 1}}}}, s.now)
	s.cell.WorkersLoaded()
	if crashed := s.cell.taskByID(task).crashes.crashed; len(crashed) != 1 {
		t.Errorf("crashes %v, want the one of run 1", crashed)
	}
}

// Guards against tickets of an ended incarnation, which the worker would refuse.
func TestTicketsEndWithTheIncarnation(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	s.report("a")
	record := s.record(1, step(2))
	record.Advice = &job.AdviceCost{TicketTTL: time.Minute}
	s.cell.Add(record, true)
	s.plan()
	s.advise("a")
	s.register(s.restart("a"))
	s.report("a")
	s.commit()
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("%d starts with tickets of the earlier incarnation, want none", len(starts))
	}
	s.register(s.restart("a"))
	s.advise("a")
	s.report("a")
	s.commit()
	if starts := s.plan(); len(starts) > 0 {
		t.Errorf("%d starts with tickets that were requested for the earlier incarnation, want none", len(starts))
	}
	s.advise("a")
	if starts := s.plan(); len(starts) != 2 {
		t.Errorf("%d starts with new tickets, want 2", len(starts))
	}
}
