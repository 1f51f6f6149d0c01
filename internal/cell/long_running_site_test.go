package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// maxDowntime is how long a long-running task may be down after the last failure while workers have
// enough free capacity for two such tasks.
const maxDowntime = 7 * time.Second

// newReportedSite returns a site whose workers have all reported.
func newReportedSite(t *testing.T, workers ...roster.Worker) *site {
	t.Helper()
	s := newSite(t, 1, workers...)
	for _, w := range workers {
		s.report(w.ID)
	}
	return s
}

// longRunningRecord returns a job with one long-running task of some thousandths of a core.
func (s *site) longRunningRecord(n int, milliCPU int64) *job.Record {
	watch := step(1)
	watch.LongRunning, watch.Need.MilliCPU = true, milliCPU
	r := s.record(n, watch)
	r.Priority = 1
	return r
}

// startOne starts the only task of a job.
func (s *site) startOne(r *job.Record) StartOrder {
	s.t.Helper()
	o, ok := s.startTasks(r)[r.ID+".0.0.0"]
	if !ok {
		s.t.Fatalf("job %s was not started", r.ID)
	}
	return o
}

// downtime advances the time until the task of a run is started again, by limit at most, and
// returns how long that took. each, if not nil, is called before every poll.
func (s *site) downtime(o StartOrder, limit time.Duration, each func(), workers ...string) time.Duration {
	s.t.Helper()
	began := s.now
	for s.now.Sub(began) < limit {
		if each != nil {
			each()
		}
		if _, ok := s.reportAndPlan(workers...)[o.Start.Task]; ok {
			break
		}
		s.commit()
	}
	return s.now.Sub(began)
}

// failAndCheckDowntime fails a run and checks that its task restarts in time.
func (s *site) failAndCheckDowntime(o StartOrder, each func(), workers ...string) {
	s.t.Helper()
	s.finish(o, runner.Failed)
	if down := s.downtime(o, 20*time.Second, each, workers...); down > maxDowntime {
		s.t.Errorf("the long-running task was down for %v", down)
	}
}
