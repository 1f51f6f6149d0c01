package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
)

// transcode returns a step that needs nearly a whole worker, thumbnails one whose tasks need an
// eighth of a worker each.
func transcode() job.Step {
	s := step(1)
	s.Need.MilliCPU, s.Estimate = 15000, 4500*time.Millisecond
	return s
}

func thumbnails(count int) job.Step {
	s := step(count)
	s.Need.MilliCPU, s.Estimate = 2000, 2400*time.Millisecond
	return s
}

// Load: a continuous stream of small tasks that need nine tenths of 12 workers, and every 2 s a
// task of a more urgent queue that needs a whole worker. Limit: 95% of the large tasks start within
// 3 s, which is the run time of the longest small task and one more round, and 95% of the small
// jobs within 4 s. Without reservations the small tasks keep every worker from becoming empty, and
// 95% of the large tasks wait up to 34 s (1.6 s with reservations).
func TestLoadLargeTasksBesideAStreamOfSmallOnes(t *testing.T) {
	l := newLoad(t, 12)
	var large, small []string
	ticks := 0
	l.run(40*time.Second, func() {
		ticks++
		if ticks%200 == 0 {
			large = append(large, l.submit("transcode", 1, transcode()))
		}
		if ticks%23 == 0 {
			small = append(small, l.submit("thumbnail", 2, thumbnails(6+l.rnd.Intn(5))))
		}
	})
	if got := percentile(l.waits(large), 0.95); got > 3*time.Second {
		t.Errorf("95%% of the large tasks waited up to %v", got)
	}
	if got := percentile(l.waits(small), 0.95); got > 4*time.Second {
		t.Errorf("95%% of the jobs of small tasks waited up to %v", got)
	}
}

// reserveBehind has worker a run a step while a large task of a more urgent queue waits for the
// worker. It returns the job of the large task.
func (s *site) reserveBehind(running job.Step) *job.Record {
	s.report("a")
	s.cell.Add(s.record(1, running), true)
	for _, start := range s.plan() {
		s.confirm(start)
	}
	waiting := s.record(2, transcode())
	waiting.Priority = 1
	s.cell.Add(waiting, true)
	s.plan()
	return waiting
}

// Guards against work that waits although a worker is free: a reservation must end with its task.
func TestReservationsEndWithTheirTask(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	waiting := s.reserveBehind(thumbnails(4))
	if s.cell.workers["a"].reserved == nil {
		t.Fatal("the worker is not reserved for the large task")
	}
	later := s.record(3, thumbnails(1))
	later.Priority = 2
	s.cell.Add(later, true)
	if starts := s.plan(); len(starts) > 0 {
		t.Fatalf("a task was started on the reserved worker: %v", starts)
	}
	s.cell.Cancel(waiting.ID, s.now)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the large task was cancelled, want 1", len(starts))
	}
}

// Guards against a reserved worker that is idle while short tasks wait, which would end before the
// reservation begins.
func TestShortTasksBackfillAReservedWorker(t *testing.T) {
	s := newSite(t, 1, usualWorker("a"))
	long := thumbnails(1)
	long.Estimate = 6 * time.Second
	s.reserveBehind(long)
	for n, test := range []struct {
		estimate time.Duration
		want     int
	}{{500 * time.Millisecond, 1}, {10 * time.Second, 0}} {
		step := thumbnails(1)
		step.Estimate = test.estimate
		r := s.record(10+n, step)
		r.Priority, r.Queue = 2, step.Estimate.String()
		s.cell.Add(r, true)
		if starts := s.plan(); len(starts) != test.want {
			t.Errorf("unexpected number of starts, %d, of a task of %v", len(starts), test.estimate)
		}
	}
}
