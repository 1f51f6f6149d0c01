package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// Guards against a long-running task that is down for 10 s because it is unknown whether the
// workers that were lost under it have crashed.
func TestLostWorkersDoNotKeepALongRunningTaskDown(t *testing.T) {
	s := newReportedSite(t, manyWorkers(6)...)
	r := s.longRunningRecord(1, 2000)
	s.cell.Add(r, true)
	alive := map[string]bool{"a": true, "b": true, "c": true, "d": true, "e": true, "f": true}
	answering := func() []string {
		var ids []string
		for _, w := range manyWorkers(6) {
			if alive[w.ID] {
				ids = append(ids, w.ID)
			}
		}
		return ids
	}
	starts := s.plan()
	for lost := 1; lost <= 3; lost++ {
		o, ok := starts[r.ID+".0.0.0"]
		if !ok {
			t.Fatalf("the task was not started after %d lost workers", lost-1)
		}
		s.cell.StartAnswered(o, runner.Answer{}, nil, s.now)
		delete(alive, o.Worker.ID)
		lostAt := s.now
		for s.now.Sub(lostAt) < 20*time.Second {
			s.cell.PollFailed(o.Worker.ID, runner.ErrNoAnswer, s.now)
			starts = s.reportAndPlan(answering()...)
			s.commit()
			if len(starts) > 0 {
				break
			}
		}
		if down := s.now.Sub(lostAt); down > maxDowntime {
			t.Errorf("the task was down for %v after %d lost workers", down, lost)
		}
	}
}
