package cell

import (
	"slices"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a task that fails or is lost although it is not the cause: 3 of its workers in a
// row became unreachable, ran it until their leases expired, and then were reachable again.
func TestAnUnreachableWorkerIsNoCrash(t *testing.T) {
	w := newCrashWorld(t, 6)
	id := w.submit(0, letters(1))
	unreachableWorkers := 0
	w.run(2*time.Minute, func() {
		for worker, state := range w.states {
			if len(w.workers[worker].runs) > 0 && unreachableWorkers < 3 && !state.unreachable {
				state.unreachable = true
				unreachableWorkers++
			}
			if state.unreachable && w.now.Sub(state.lease) > 3*time.Second {
				state.unreachable = false
			}
		}
	})
	if unreachableWorkers != 3 {
		t.Fatalf("%d workers were unreachable, want 3", unreachableWorkers)
	}
	w.checkState(id, job.Completed)
}

// Guards against failing jobs that did not cause the crashes: a sixth of the workers crash by
// themselves at once, 3 times, 10 s apart. All jobs must complete.
func TestJobsOnWorkersThatCrashByThemselvesDoNotFail(t *testing.T) {
	w := newCrashWorld(t, 24)
	crashWaves := 0
	others := w.runWithBackgroundJobs(50*time.Second, func() {
		if w.now.Sub(siteStart) < time.Duration(crashWaves+1)*10*time.Second || crashWaves == 3 {
			return
		}
		crashWaves++
		crashed := 0
		for _, id := range w.workerIDs() {
			if state := w.states[id]; !w.answersNothing(id) && len(w.workers[id].runs) > 0 && crashed < 4 {
				crashed++
				state.crashAt = w.now
			}
		}
	})
	for _, id := range others {
		w.checkState(id, job.Completed)
	}
	if w.cell.stats.PoisonJobs > 0 {
		t.Errorf("%d jobs failed permanently, want none", w.cell.stats.PoisonJobs)
	}
}

// Guards against healthy jobs that fail when many workers crash by themselves, again and again.
func TestCorrelatedCrashesFailNoJob(t *testing.T) {
	for seed := range 6 {
		w := newCrashWorld(t, 24)
		w.rnd.Seed(int64(seed))
		crashWaves := 0
		var others []string
		w.run(30*time.Second, func() {
			if w.now.Sub(siteStart) < 20*time.Second && w.rnd.Intn(4) == 0 {
				others = append(others, w.submit(0, mayRunTwice(6)))
			}
			next := time.Duration(crashWaves/2+1)*2*time.Second + time.Duration(crashWaves%2)*400*time.Millisecond
			if w.now.Sub(siteStart) < next || crashWaves == 16 {
				return
			}
			crashWaves++
			ids := w.workerIDs()
			crashed := 0
			for _, at := range w.rnd.Perm(len(ids)) {
				if crashed < 4 && !w.answersNothing(ids[at]) {
					crashed++
					w.states[ids[at]].crashAt = w.now
				}
			}
		})
		for _, id := range others {
			if w.maxCrashesUnder(id) < maxCrashes {
				w.checkState(id, job.Completed)
			}
		}
	}
}

// Guards against a job that fails because its tasks started on the same workers as a poison task.
func TestNeighborOfAPoisonTaskDoesNotFail(t *testing.T) {
	for seed := range 8 {
		w := newCrashWorld(t, 8)
		w.rnd.Seed(int64(seed))
		var poison, others []string
		w.run(30*time.Second, func() {
			if w.now.Sub(siteStart) > 20*time.Second || w.rnd.Intn(20) > 0 {
				return
			}
			if len(poison) < 6 && w.rnd.Intn(10) == 0 {
				poison = append(poison, w.submit(0, mayRunTwice(4), 1))
				return
			}
			others = append(others, w.submit(0, []job.Step{mayRunTwice(4), once(3), gang(2)}[w.rnd.Intn(3)]))
		})
		w.checkPoison()
		for _, id := range poison {
			w.checkState(id, job.Failed)
		}
		for _, id := range others {
			w.checkState(id, job.Completed)
		}
	}
}

// Guards against counting a crash for a task whose start the worker had refused before it crashed.
func TestARefusedStartIsNoCrash(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	s.report("a")
	s.report("b")
	order := s.plan()[r.ID+".0.0.0"]
	s.cell.StartAnswered(order, runner.Answer{}, &runner.Refusal{Reason: runner.Unhealthy}, s.now)
	s.cell.PollFailed(order.Worker.ID, runner.ErrIncarnationGone, s.now)
	if got := s.cell.jobs[r.ID].stages[0].tasks[0].crashes.losses(); got != 0 {
		t.Errorf("%d lost workers count for the task, want none", got)
	}
}

// Guards against counting a crash for a task whose speculative run survived elsewhere: the task
// became a suspect when its worker was unreachable, and that worker crashed before it was reachable
// again.
func TestSurvivingSpeculativeRunClearsTheCrashHistory(t *testing.T) {
	w := newCrashWorld(t, 6)
	s := mayRunTwice(1)
	s.Estimate = 3 * time.Second
	id := w.submit(0, s)
	w.run(30*time.Millisecond, nil)
	task := w.cell.jobs[id].stages[0].tasks[0]
	first := task.attempts[0].worker.ID
	w.states[first].unreachable = true
	w.run(time.Second, nil)
	if task.crashes.hasLosses() {
		t.Errorf("the task has a crash history although its speculative run survived: %+v", task.crashes)
	}
	w.states[first].unreachable = false
	w.states[first].crashAt = w.now
	w.run(5*time.Second, nil)
	if task.crashes.hasLosses() {
		t.Errorf("the crash of the unreachable worker counts for the task: %+v", task.crashes)
	}
	w.checkState(id, job.Completed)
}

// Guards against crash histories and isolation of tasks when the owner's own link is saturated:
// repeatedly no worker answers it for half a second, and all workers are healthy.
func TestAnOwnerThatReachesNoWorkerSuspectsNobody(t *testing.T) {
	w := newCrashWorld(t, 12)
	var others []string
	suspects := 0
	w.run(20*time.Second, func() {
		if w.rnd.Intn(10) == 0 && w.now.Sub(siteStart) < 12*time.Second {
			others = append(others, w.submit(0, mayRunTwice(6)))
		}
		unreached := w.now.Sub(siteStart)%(2*time.Second) < 500*time.Millisecond && w.now.Sub(siteStart) < 12*time.Second
		for _, state := range w.states {
			state.unreachable = unreached
		}
		for _, j := range w.cell.active {
			for _, task := range j.stages[0].tasks {
				suspects += task.crashes.losses()
			}
		}
	})
	if suspects > 0 {
		t.Error("runs became suspects while the owner could reach no worker")
	}
	for _, id := range others {
		w.checkState(id, job.Completed)
	}
}

// Guards against a healthy job that fails because the owner changes after several workers were lost
// together: the next owner counts each crash as if it had come alone.
func TestCrashesThatThePreviousOwnerSawTogetherFailNoJob(t *testing.T) {
	for name, c := range map[string]struct {
		lost       int
		registered bool
		want       job.State
	}{
		"three lost":                     {3, false, ""},
		"three lost, registered already": {3, true, ""},
		"one lost":                       {1, false, job.Failed},
		"one lost, registered already":   {1, true, job.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			ids := []string{"a", "b", "c", "d", "e", "f", "g"}
			s := newSite(t, 1)
			for _, id := range ids {
				s.register(usualWorker(id))
			}
			s.commit()
			for _, id := range ids {
				s.report(id)
			}
			r := s.record(1, step(1))
			s.cell.Add(r, true)
			crashed := s.cell.jobs[r.ID].stages[0].tasks[0]
			crashed.crashes.crashed, crashed.lastRun, crashed.stage.lostWorkers = []uint64{1}, 1, true
			o := s.plan()[r.ID+".0.0.0"]
			s.confirm(o)
			s.report(o.Worker.ID)
			lost := append([]string{o.Worker.ID}, slices.DeleteFunc(ids, func(id string) bool { return id == o.Worker.ID })...)[:c.lost]
			for range suspectAfterFailedPolls {
				for _, id := range lost {
					s.cell.PollFailed(id, runner.ErrNoAnswer, s.now)
				}
				s.advance(unresponsiveAfter)
			}
			s.plan()
			s.commit()
			s.nextOwnerOf(r, encodeAndDecode(t, s.cell.jobs[r.ID].progress()), o.Worker.ID, c.registered)
			if got := s.cell.jobs[r.ID].final; got != c.want {
				t.Errorf("state %q, want %q", got, c.want)
			}
		})
	}
}

// nextOwnerOf has a new owner load a job and the workers, of which one has restarted. It finds that in
// the roster or in the worker's report.
func (s *site) nextOwnerOf(r *job.Record, p *job.Progress, restarted string, registered bool) {
	s.t.Helper()
	settings := s.cell.settings
	settings.Term++
	s.cell = New(settings, s.now, quietLog())
	s.cell.Load(r, p)
	next := s.restart(restarted)
	for _, known := range s.chunks {
		for _, k := range known {
			switch {
			case k.ID != restarted || !registered:
				s.register(usualWorker(k.ID))
			default:
				s.register(next)
			}
		}
	}
	for _, known := range s.chunks {
		s.cell.LoadWorkers(known, s.now)
	}
	s.cell.WorkersLoaded()
	s.report(restarted)
}

// Guards against a stored loss that is over: the next owner would count the worker's next loss at that
// time.
func TestLossIsRemovedFromTheStoreWhenTheWorkerAnswers(t *testing.T) {
	ids := []string{"a", "b", "c"}
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"), usualWorker("c"))
	for _, id := range ids {
		s.report(id)
	}
	s.commit()
	s.plan()
	for range suspectAfterFailedPolls {
		s.cell.PollFailed("a", runner.ErrNoAnswer, s.now)
	}
	s.advance(100 * time.Millisecond)
	s.plan()
	s.cell.dirtyChunks.mark("a") // as by a worker of the same chunk
	s.commit()
	stored := func() int64 {
		at := slices.IndexFunc(s.chunks[chunkOf("a")], func(k KnownWorker) bool { return k.ID == "a" })
		return s.chunks[chunkOf("a")][at].LostAtMillis
	}
	before := stored()
	s.report("a")
	s.plan()
	s.commit()
	if after := stored(); before == 0 || after != 0 {
		t.Errorf("lost at %d, and at %d after it has answered, want a time and 0", before, after)
	}
}
