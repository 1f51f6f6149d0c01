package cell

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/runner"
)

// inheritedStarts returns the fields of the logged first starts of inherited stages.
func inheritedStarts(hook *logtest.Hook) []logrus.Fields {
	var list []logrus.Fields
	for _, e := range hook.AllEntries() {
		if e.Message == "inherited_stage_started" {
			list = append(list, logrus.Fields(e.Data))
		}
	}
	return list
}

// takenOverSite returns a site with a worker that does not answer, an older job of two tasks, and
// the cell's log. observed receives the waits passed to ObserveHeldBack.
func takenOverSite(t *testing.T, observed *[]time.Duration) (*site, *logtest.Hook) {
	settings := Settings{Term: 2, Lease: 3500 * time.Millisecond, PreviousOwnerStopped: true,
		ObserveHeldBack: func(d time.Duration) { *observed = append(*observed, d) }}
	s := newSiteWith(t, settings, usualWorker("a"), usualWorker("b"))
	log, hook := logtest.NewNullLogger()
	s.cell.log = log
	s.cell.Load(s.record(1, step(2)), nil)
	return s, hook
}

// The log line of a stage that was held back separates that wait from the wait for capacity.
func TestFirstStartOfAHeldBackStageIsLoggedOnce(t *testing.T) {
	var observed []time.Duration
	s, hook := takenOverSite(t, &observed)
	s.report("b")
	s.plan()
	held := s.cell.earlierLeaseLimit()
	s.advance(held)
	s.plan() // the report of b is too old for a start
	s.advance(20 * time.Millisecond)
	s.report("b")
	if len(s.plan()) != 2 {
		t.Fatal("the two tasks were not started")
	}
	starts := inheritedStarts(hook)
	if len(starts) != 1 {
		t.Fatalf("%d lines, want one for the stage", len(starts))
	}
	want := logrus.Fields{"stage": "0000000000000001.0.0", "after_takeover_ms": (held + 22*time.Millisecond).Milliseconds(),
		"ready_ms": (held + 21*time.Millisecond).Milliseconds(), "held_back_ms": held.Milliseconds()}
	for name, value := range want {
		if starts[0][name] != value {
			t.Errorf("%s is %v, want %v", name, starts[0][name], value)
		}
	}
	if len(observed) != 1 || observed[0] != held {
		t.Errorf("observed %v, want one wait of %v", observed, held)
	}
}

// Stages that were not held back are logged only shortly after the takeover.
func TestFirstStartOfAnotherInheritedStageIsLoggedIfEarly(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		lines int
	}{"early": {time.Second, 1}, "late": {inheritedStartsLogged, 0}} {
		t.Run(name, func(t *testing.T) {
			var observed []time.Duration
			s, hook := takenOverSite(t, &observed)
			s.advance(c.after)
			s.report("a")
			s.report("b")
			s.plan()
			if starts := inheritedStarts(hook); len(starts) != c.lines || len(observed) != 0 {
				t.Errorf("%d lines and %d waits observed, want %d and none", len(starts), len(observed), c.lines)
			}
		})
	}
}

// A stage whose tasks were found to run has not waited: a later retry of one counts from its failure.
func TestRetryInAStageThatWasFoundRunningHasNotWaited(t *testing.T) {
	var observed []time.Duration
	s, hook := takenOverSite(t, &observed)
	s.report("b")
	s.plan()
	s.advance(time.Second)
	for i, task := range []string{"0000000000000001.0.0.0", "0000000000000001.0.0.1"} {
		s.runs["a"] = append(s.runs["a"], runner.RunState{Task: task, Run: uint64(i + 33)})
	}
	s.report("a")
	s.plan()
	s.advance(time.Second)
	s.end("a", "0000000000000001.0.0.0", 33, runner.Failed)
	s.report("a")
	s.advance(s.cell.earlierLeaseLimit())
	s.report("a")
	s.report("b")
	for len(s.plan()) == 0 && s.now.Before(siteStart.Add(inheritedStartsLogged)) {
		s.advance(100 * time.Millisecond)
		s.report("b")
	}
	starts := inheritedStarts(hook)
	if len(starts) != 1 || starts[0]["held_back_ms"] != int64(0) || starts[0]["ready_ms"].(int64) > 1000 || len(observed) != 0 {
		t.Errorf("lines %v and %v observed, want a retry that was not held back", starts, observed)
	}
}

// Jobs accepted under this owner are not logged: a takeover cannot delay them.
func TestFirstStartOfANewJobIsNotLogged(t *testing.T) {
	var observed []time.Duration
	s, hook := takenOverSite(t, &observed)
	s.report("a")
	s.report("b")
	s.plan()
	s.cell.Add(s.record(2, step(1)), true)
	s.plan()
	if starts := inheritedStarts(hook); len(starts) != 1 || starts[0]["stage"] != "0000000000000001.0.0" {
		t.Errorf("lines %v, want one for the older job", starts)
	}
}
