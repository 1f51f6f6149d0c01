package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// unreadableJobSite is the site of a new owner in an outage of the store. Worker w2 runs a task of a
// job that only a superseded owner knows, so the new one cannot account for it.
type unreadableJobSite struct {
	*site
	// leaseEnd is the end of the lease of w2, on its own clock.
	leaseEnd time.Duration
	unknown  runner.RunState
}

func newUnreadableJobSite(t *testing.T) *unreadableJobSite {
	s := &unreadableJobSite{site: newTakenOverSite(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond})}
	s.unknown = runner.RunState{Task: s.recordOf("north", 1, step(3)).ID + ".0.0.0", Run: 1, Percent: 10}
	s.leaseEnd = s.workerClock() + s.cell.settings.Lease
	return s
}

func (s *unreadableJobSite) workerClock() time.Duration { return s.now.Sub(siteStart) + time.Hour }

// poll polls both workers once. w2 reports its run until its lease has expired.
func (s *unreadableJobSite) poll() {
	s.t.Helper()
	s.advance(100 * time.Millisecond)
	s.report("w1")
	_, poll, ok := s.cell.NextPoll("w2", s.now)
	if !ok {
		s.t.Fatal("worker w2 is unknown")
	}
	if poll.LeaseUntil != nil && s.unknownRuns() {
		s.leaseEnd = max(s.leaseEnd, *poll.LeaseUntil)
	}
	report := runner.Report{Clock: s.workerClock()}
	if s.unknownRuns() {
		report.Running = []runner.RunState{s.unknown}
	} else {
		report.Ended = []runner.End{{Sequence: 1, Task: s.unknown.Task, Run: s.unknown.Run, Kind: runner.LeaseExpired}}
	}
	s.cell.Reported("w2", report, s.now, s.now)
}

// unknownRuns reports whether the run of the unknown job goes on.
func (s *unreadableJobSite) unknownRuns() bool { return s.workerClock() < s.leaseEnd }

// Guards against a second run of a task whose job could not be read until the recovery had ended.
func TestTaskOfAJobThatIsReadLateRunsOnce(t *testing.T) {
	s := newUnreadableJobSite(t)
	for range 80 {
		s.poll()
		s.plan()
	}
	s.cell.Load(s.recordOf("north", 1, step(3)), nil)
	if starts := s.plan(); len(starts) > 0 && s.unknownRuns() {
		t.Errorf("starts %v while a run of the job goes on, want none", starts)
	}
}

// Guards against a workspace that exceeds its quota because the job of a run cannot be read.
func TestQuotaCountsRunsOfJobsThatCannotBeRead(t *testing.T) {
	s := newUnreadableJobSite(t)
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	for range 80 {
		s.poll()
		if starts := s.plan(); len(starts) > 2 && s.unknownRuns() {
			t.Fatalf("%d starts beside a run of the workspace under a quota of 3", len(starts))
		}
	}
}
