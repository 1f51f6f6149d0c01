package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
)

// transcode needs nearly a whole worker, thumbnail an eighth of one.
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

// TestLoadLargeTasksBesideAStreamOfSmallOnes: load: small tasks that need nine tenths of
// 12 workers come without end, and of a more urgent queue one task each two seconds that
// needs a whole worker. Limit: 95 of 100 large tasks start within 3 s, which is the
// longest small task and one turn more, and 95 of 100 small jobs within 4 s. Without
// reservations the small ones keep all workers from ever being empty, and 95 of 100
// large ones waited up to 34 s (1.6 s with them).
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
		t.Errorf("95 of 100 large tasks waited up to %v", got)
	}
	if got := percentile(l.waits(small), 0.95); got > 4*time.Second {
		t.Errorf("95 of 100 jobs of small tasks waited up to %v", got)
	}
}

// reserveBehind has worker "a" run a step, and a large task of a more urgent queue wait
// for it. It returns the job of the latter.
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

// Failure: work stands still beside a free worker.
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
		t.Fatalf("a task passed in front of the reservation: %v", starts)
	}
	s.cell.Cancel(waiting.ID, s.now)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts after the large task was cancelled", len(starts))
	}
}

// Failure: a reserved worker stands idle while short work waits.
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
			t.Errorf("%d starts of a task of %v", len(starts), test.estimate)
		}
	}
}
