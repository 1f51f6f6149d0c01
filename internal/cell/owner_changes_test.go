package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// advanceUnresponsive advances the time while a worker answers no poll and the others do. It
// returns the starts.
func (s *site) advanceUnresponsive(id string, d time.Duration, others ...string) map[string]StartOrder {
	started := map[string]StartOrder{}
	for end := s.now.Add(d); s.now.Before(end); {
		if _, _, ok := s.cell.NextPoll(id, s.now); ok {
			s.cell.PollFailed(id, runner.ErrNoAnswer, s.now)
		}
		for _, other := range others {
			s.report(other)
		}
		s.advance(watchPeriod)
		for task, o := range s.plan() {
			s.confirm(o)
			started[task] = o
		}
		s.commit()
	}
	return started
}

// takeOver has a new owner load a job and the known workers.
func (s *site) takeOver(r *job.Record, workers ...string) {
	settings := s.cell.settings
	settings.Term++
	s.cell = New(settings, s.now, quietLog())
	s.cell.Load(r, nil)
	for _, id := range workers {
		s.cell.register(usualWorker(id), s.now)
	}
	for _, known := range s.chunks {
		s.cell.LoadWorkers(known, s.now)
	}
	s.cell.WorkersLoaded()
}

// Guards against a task that runs twice after two takeovers while a worker is unreachable: an
// owner that got no report from a worker must not store that nothing runs there.
func TestOwnerWithoutAReportFromAWorkerStoresNoRunsOfIt(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	s.report("a")
	s.commit()
	r := s.record(1, step(1))
	s.cell.Add(r, true)
	task := r.ID + ".0.0.0"
	first := s.plan()[task]
	s.confirm(first)
	s.report("a")
	s.commit()
	lease := s.now.Add(s.cell.settings.Lease)
	s.takeOver(r, "a", "b")
	if again, ok := s.advanceUnresponsive("a", time.Second, "b")[task]; ok {
		t.Fatalf("run %d was started after one takeover", again.Start.Run)
	}
	s.takeOver(r, "a", "b")
	if again, ok := s.advanceUnresponsive("a", lease.Sub(s.now), "b")[task]; ok {
		t.Errorf("run %d was started on %s while run %d may continue on a", again.Start.Run, again.Worker.ID, first.Start.Run)
	}
}

// handOver has an owner end its term, and the next one load a job and the known workers.
func (s *site) handOver(r *job.Record, workers ...string) {
	s.cell.EndTerm(s.now)
	s.commit()
	s.cell.settings.PreviousOwnerStopped = true
	s.takeOver(r, workers...)
}

// startLongRunningOn has the first owner start a long-running task on a worker.
func (s *site) startLongRunningOn(id string) (r *job.Record, task string) {
	longRunning := step(1)
	longRunning.LongRunning = true
	r = s.record(1, longRunning)
	s.report(id)
	s.cell.Add(r, true)
	task = r.ID + ".0.0.0"
	s.confirm(s.plan()[task])
	s.report(id)
	s.commit()
	return r, task
}

// timeToStart returns how long it takes until a task is started. Meanwhile a worker is unresponsive
// and the cell is handed over: the first time after first, then each time after again.
func (s *site) timeToStart(task, unresponsive string, first, again time.Duration, r *job.Record) time.Duration {
	began := s.now
	next := began.Add(first)
	for s.now.Sub(began) < 20*time.Second {
		if !s.now.Before(next) {
			s.handOver(r, "a", "b")
			next = s.now.Add(again)
		}
		if _, ok := s.advanceUnresponsive(unresponsive, watchPeriod, "b")[task]; ok {
			break
		}
	}
	return s.now.Sub(began)
}

// Guards against a long-running task of a crashed worker that stays down as long as the cell is
// handed over.
func TestLeaseOfAnUnresponsiveWorkerIsNotExtendedByHandOvers(t *testing.T) {
	const losses = 500 * time.Millisecond
	for name, first := range map[string]time.Duration{"reported before": time.Second, "never reported": 0} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
			r, task := s.startLongRunningOn("a")
			s.cell.settings.PreviousOwnerStopped = true
			limit := s.cell.earlierLeaseLimit() + losses
			lease := time.Duration(float64(s.cell.settings.Lease) / (1 - maxClockDrift))
			took := s.timeToStart(task, "a", first, 2*time.Second, r)
			if took > limit {
				t.Errorf("started after %v, want %v at most", took, limit)
			}
			if took < lease {
				t.Errorf("started after %v, before the lease of %v expired on a slow clock", took, lease)
			}
		})
	}
}

// Guards against a task that runs twice: an owner has stored when a lease expires, the next one has
// extended the lease and was lost.
func TestStoredLeaseEndCountsOnlyFromTheLastOwner(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"), usualWorker("b"))
	r, task := s.startLongRunningOn("a")
	s.advanceUnresponsive("a", 2*time.Second, "b")
	s.handOver(r, "a", "b")
	s.report("a")
	s.report("a")
	lease := s.now.Add(s.cell.settings.Lease)
	s.takeOver(r, "a", "b")
	if again, ok := s.advanceUnresponsive("a", lease.Sub(s.now), "b")[task]; ok {
		t.Errorf("run %d was started on %s before the lease of a expired", again.Start.Run, again.Worker.ID)
	}
}

// Guards against a long-running task that stays down as long as owners change, because each of them
// restarts the crash backoff.
func TestCrashBackoffIsNotRestartedByANewOwner(t *testing.T) {
	s := newSite(t, 1, usualWorker("b"))
	longRunning := step(1)
	longRunning.LongRunning = true
	r := s.record(1, longRunning)
	s.cell.Add(r, true)
	j := s.cell.jobs[r.ID]
	crashes := &j.stages[0].tasks[0].crashes
	crashes.addUnresponsive(1, s.now)
	crashes.addUnresponsive(2, s.now)
	j.stages[0].lostWorkers = true
	j.stages[0].tasks[0].lastRun = 2
	lostAt := s.now
	for len(s.plan()) == 0 {
		if s.now.Sub(lostAt) > 2*longBackoff {
			t.Fatalf("not started %v after the last worker was lost", s.now.Sub(lostAt))
		}
		stored := encodeAndDecode(t, s.cell.jobs[r.ID].progress())
		s.advance(shortBackoff / 2)
		settings := s.cell.settings
		settings.Term++
		s.cell = New(settings, s.now, quietLog())
		s.cell.Load(r, stored)
		s.cell.SetRoster([]roster.Worker{usualWorker("b")}, s.now)
		s.cell.WorkersLoaded()
		s.commit()
		s.report("b")
	}
	if took := s.now.Sub(lostAt); took < shortBackoff || took > shortBackoff*3/2 {
		t.Errorf("started %v after the last worker was lost, want %v", took, shortBackoff)
	}
}

// encodeAndDecode returns progress as the next owner reads it.
func encodeAndDecode(t *testing.T, p *job.Progress) *job.Progress {
	t.Helper()
	data, err := job.EncodeProgress(p)
	if err != nil {
		t.Fatal(err)
	}
	read, err := job.DecodeProgress(data)
	if err != nil {
		t.Fatal(err)
	}
	return read
}

// Guards against a long-running task that is in backoff for an hour after a takeover because the
// previous owner's time of day was an hour ahead.
func TestCrashBackoffIsBoundedWhenClocksJump(t *testing.T) {
	for name, c := range map[string]struct{ ahead, want time.Duration }{
		"an hour ahead":  {time.Hour, shortBackoff},
		"an hour behind": {-time.Hour, 0},
		"not stored":     {0, shortBackoff},
	} {
		millis := int64(0)
		if c.ahead != 0 {
			millis = siteStart.Add(c.ahead).UnixMilli()
		}
		h := crashHistory{unresponsive: []uint64{1, 2}, lostAt: lostAtFrom(millis, siteStart)}
		if h.backsOff(siteStart.Add(c.want)) {
			t.Errorf("%s: in backoff after %v", name, c.want)
		}
		if c.want > 0 && !h.backsOff(siteStart.Add(c.want-time.Millisecond)) {
			t.Errorf("%s: not in backoff for %v", name, c.want)
		}
	}
}

// Guards against a task that runs twice after a takeover: a worker that has not reported yet answers
// the stop of another task, and the lease that the previous owner granted counts as expired.
func TestAnswerToAStopDoesNotEndTheLeaseOfThePreviousOwner(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	cancelled, other := s.record(1, step(1)), s.record(2, step(1))
	s.cell.Load(cancelled, nil)
	s.cell.Load(other, nil)
	task := other.ID + ".0.0.0"
	s.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1", Cordoned: true, Runs: []KnownRun{{Task: cancelled.ID + ".0.0.0", Run: 1}, {Task: task, Run: 1}}},
		{ID: "b", Address: "b:1"}}, s.now)
	s.cell.WorkersLoaded()
	s.cell.Cancel(cancelled.ID, s.now)
	s.report("b")
	s.plan()
	stops := 0
	for _, o := range s.orders {
		if stop, ok := o.(StopOrder); ok {
			stops++
			s.cell.StopAnswered(stop, runner.Answer{Clock: time.Hour}, nil, s.now)
		}
	}
	if stops != 1 {
		t.Fatalf("%d stops, want 1", stops)
	}
	lease := s.now.Add(s.cell.settings.Lease)
	if again, ok := s.advanceUnresponsive("a", lease.Sub(s.now), "b")[task]; ok {
		t.Errorf("run %d was started on %s while run 1 may continue on a", again.Start.Run, again.Worker.ID)
	}
	if _, ok := s.advanceUnresponsive("a", s.cell.earlierLeaseLimit(), "b")[task]; !ok {
		t.Error("the task was not started although no lease can be left on a")
	}
}
