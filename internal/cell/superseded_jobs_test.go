package cell

import (
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// Guards against a workspace that exceeds its quota because a superseded owner starts a job that
// only it was notified of, on a worker that has not reported to the new owner.
func TestQuotaCountsJobsThatOnlyASupersededOwnerKnows(t *testing.T) {
	s := newTakenOverSite(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond})
	s.cell.Add(s.recordOf("north", 1, step(3)), true)
	if starts := s.plan(); len(starts) != 0 {
		t.Errorf("%d starts while the superseded owner may use the quota, want none", len(starts))
	}
	s.advance(supersededOwnerLimit - watchPeriod)
	s.report("w1")
	s.cell.JobsRead(s.now)
	if starts := s.plan(); len(starts) != 0 {
		t.Errorf("%d starts after a read of the jobs that may lack some, want none", len(starts))
	}
	s.advance(watchPeriod)
	s.cell.JobsRead(s.now)
	if starts := s.plan(); len(starts) != 3 {
		t.Errorf("%d starts once all jobs of the superseded owner are known, want 3", len(starts))
	}
}

// Guards against a workspace that exceeds its quota because its first job arrives between two counts
// of what a superseded owner may have started.
func TestQuotaOfANewWorkspaceCountsWhatASupersededOwnerMayUse(t *testing.T) {
	s := newTakenOverSite(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond})
	s.plan()
	s.configure(2, "south", cores(3))
	s.cell.Add(s.recordOf("south", 1, step(3)), true)
	s.advance(watchPeriod / 4)
	if starts := s.plan(); len(starts) != 0 {
		t.Errorf("%d starts while the superseded owner may use the quota, want none", len(starts))
	}
}

// Guards against a workspace that waits for a superseded owner although that has stopped.
func TestQuotaIsFreeOnceThePreviousOwnerHasStopped(t *testing.T) {
	s := newTakenOverSite(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, PreviousOwnerStopped: true})
	s.cell.Add(s.recordOf("north", 1, step(3)), true)
	if starts := s.plan(); len(starts) != 3 {
		t.Errorf("%d starts, want 3", len(starts))
	}
}

// Guards against a workspace that exceeds its quota because not all runs on a cordoned worker are
// accounted.
func TestQuotaCountsTheRunsOfACordonedWorker(t *testing.T) {
	for _, test := range []struct {
		name      string
		cancelled bool
		want      int
	}{
		{"the run is accounted", false, 2},
		{"the run of a cancelled job is not accounted", true, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := newSiteWith(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, PreviousOwnerStopped: true}, usualWorker("w1"), usualWorker("w2"))
			s.configure(1, "north", cores(3))
			earlier := s.recordOf("north", 1, step(1))
			s.cell.Load(earlier, nil)
			if test.cancelled {
				s.cell.Cancel(earlier.ID, s.now)
			}
			run := KnownRun{Task: job.TaskID{Job: earlier.ID}.String(), Run: 1}
			s.cell.LoadWorkers([]KnownWorker{{ID: "w1", Address: "w1:1"}, {ID: "w2", Address: "w2:1", Cordoned: true, Runs: []KnownRun{run}}}, s.now)
			s.cell.WorkersLoaded()
			s.report("w1")
			s.cell.Add(s.recordOf("north", 2, step(3)), true)
			if starts := s.plan(); len(starts) != test.want {
				t.Errorf("%d starts, want %d", len(starts), test.want)
			}
		})
	}
}

// Guards against a workspace that exceeds its quota because a previous owner has started copies of
// tasks that may run twice.
func TestQuotaCountsCopiesOfInheritedTasks(t *testing.T) {
	s := newTakenOverSite(t, Settings{Term: 2, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, PreviousOwnerStopped: true})
	twice := step(1)
	twice.AllowDuplicates = true
	inherited := s.recordOf("north", 1, twice)
	s.cell.Load(inherited, nil)
	s.runs["w1"] = []runner.RunState{{Task: inherited.ID + ".0.0.0", Run: 1, Percent: 10}}
	s.report("w1")
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts beside a run and its possible copy under a quota of 3, want 1", len(starts))
	}
}

// newTakenOverSite returns the site of a new owner that has heard w1 but not w2. Both may have runs
// of the previous owner.
func newTakenOverSite(t *testing.T, settings Settings) *site {
	s := newSiteWith(t, settings, usualWorker("w1"), usualWorker("w2"))
	s.configure(1, "north", cores(3))
	s.cell.LoadWorkers([]KnownWorker{{ID: "w1", Address: "w1:1"}, {ID: "w2", Address: "w2:1"}}, s.now)
	s.cell.WorkersLoaded()
	s.report("w1")
	return s
}
