package cell

import (
	"testing"
	"time"
)

// checkCompletedOnce checks that all jobs were completed and that no task ran again after its
// success was acknowledged.
func (l *load) checkCompletedOnce(jobs []string) {
	l.t.Helper()
	if len(l.startedAgain) > 0 {
		l.t.Errorf("%d tasks were started after their success was acknowledged, for example %s", len(l.startedAgain), l.startedAgain[0])
	}
	for _, id := range jobs {
		if _, done := l.completed[id]; !done {
			l.t.Errorf("job %s is not completed", id)
		}
	}
}

// restartInTurn restarts all workers under their ids, one every 200 ms, while jobs arrive.
func (l *load) restartInTurn(down time.Duration) []string {
	var jobs []string
	ids := l.workerIDs()
	for n := range 60 {
		id := ids[n%len(ids)]
		jobs = append(jobs, l.submit("q", 0, lookup(6)))
		l.restart(id, down)
		l.run(200*time.Millisecond, nil)
		l.register(id)
	}
	l.run(8*time.Second, nil)
	return jobs
}

// Guards against acknowledging ends that were never reported: a restarted worker numbers its ends
// from 1 again.
func TestEndsOnRestartedWorkersAreReportedBeforeTheyAreAcknowledged(t *testing.T) {
	for _, down := range []time.Duration{0, 60 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(down.String(), func(t *testing.T) {
			w := newLoad(t, 12)
			jobs := []string{w.submit("q", 0, lookup(60))}
			w.run(2*time.Second, nil)
			jobs = append(jobs, w.restartInTurn(down)...)
			w.checkCompletedOnce(jobs)
		})
	}
}
