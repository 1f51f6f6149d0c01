package cell

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// Guards against a step that waits for a silent worker after each takeover, although the previous owner
// had stopped and had accounted for all runs of the owners before it.
func TestStepAfterARunOfAnOwnerThatAccountedForAllRunsIsNotHeldBack(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"), usualWorker("b"))
	s.cell.settings.PreviousOwnerStopped = true
	r, first, second := s.twoSteps()
	s.cell.Load(r, nil)
	s.report("a")
	own, ok := s.advanceUnresponsive("b", s.cell.earlierLeaseLimit()+watchPeriod, "a")[first]
	if !ok {
		t.Fatal("the first step was not started although no lease can be left on b")
	}
	s.takeOver(r, "a", "b")
	s.report("a")
	s.endAndReport("a", first, own.Start.Run)
	if _, ok := s.plan()[second]; !ok {
		t.Error("the second step waits for a worker that cannot run it")
	}
}

// Guards against a third owner that takes a run of the second for no repetition, although the second
// had uncounted runs or more runs of a task than one owner starts.
func TestOwnerHasNotAccountedForAllRunsWhileItHasUncountedOnes(t *testing.T) {
	twice := step(1)
	twice.AllowDuplicates = true
	for name, know := range map[string]func(s *site, task string){
		"three runs of a task": func(s *site, task string) {
			for n, id := range []string{"a", "b", "c"} {
				s.runs[id] = []runner.RunState{{Task: task, Run: uint64(n + 1), Percent: 10}}
			}
		},
		"run that is stored with its cordoned worker": func(s *site, task string) {
			s.cell.LoadWorkers([]KnownWorker{{ID: "d", Address: "d:1", Cordoned: true, Runs: []KnownRun{{Task: task, Run: 1}}}}, s.now)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSite(t, 3, usualWorker("a"), usualWorker("b"), usualWorker("c"))
			s.cell.settings.PreviousOwnerStopped = true
			r := s.record(1, twice)
			s.cell.Load(r, nil)
			know(s, r.ID+".0.0.0")
			for _, id := range []string{"a", "b", "c"} {
				s.report(id)
			}
			s.plan()
			if s.cell.recovering || s.cell.accountedTerm == 3 {
				t.Errorf("recovering %v, accounted term %d", s.cell.recovering, s.cell.accountedTerm)
			}
		})
	}
}

// Guards against a workspace that cannot use its quota after a takeover: the previous owner was alone
// for longer than a lease, and no owner before it can have left a run.
func TestQuotaCountsOneOwnersCopiesIfThatOneAccountedForTheOthers(t *testing.T) {
	s := newSiteWith(t, Settings{Term: 3, Lease: 3500 * time.Millisecond, PreviousOwnerStopped: true}, usualWorker("w1"), usualWorker("w2"))
	s.configure(1, "north", cores(3))
	twice := step(1)
	twice.AllowDuplicates = true
	inherited := s.recordOf("north", 1, twice)
	s.cell.Load(inherited, nil)
	s.cell.LoadWorkers([]KnownWorker{{ID: "w1", Address: "w1:1", AccountedTerm: 2}, {ID: "w2", Address: "w2:1"}}, s.now)
	s.cell.WorkersLoaded()
	task, first := inherited.ID+".0.0.0", uint64(runsPerTerm+1)
	s.runs["w1"] = []runner.RunState{{Task: task, Run: first, Percent: 10}, {Task: task, Run: first + 1, Percent: 10}}
	s.report("w1")
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	if starts := s.plan(); len(starts) != 1 {
		t.Errorf("%d starts beside two runs under a quota of 3, want 1", len(starts))
	}
}

// Guards against a recovery that waits for an owner before the last one although the last one had
// outlasted it, and against one that does not wait although it had not.
func TestRecoveryWaitsForOwnersBeforeTheLastOneUntilThatHadAccountedForAllRuns(t *testing.T) {
	for name, test := range map[string]struct {
		predecessorStopped bool
		accountedTerm      uint64
		waits              bool
	}{
		"last one stopped, had accounted":       {true, 2, false},
		"last one stopped, had not accounted":   {true, 1, true},
		"last one may act, had accounted":       {false, 2, true},
		"no entry of an owner that accounted":   {true, 0, true},
		"last one may act, had not accounted":   {false, 1, true},
		"entry of this term, last one may act":  {false, 3, true},
		"last one stopped, entry of this owner": {true, 3, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSiteWith(t, Settings{Term: 3, Lease: 3500 * time.Millisecond, PredecessorStopped: test.predecessorStopped}, usualWorker("a"), usualWorker("b"))
			s.cell.LoadWorkers([]KnownWorker{{ID: "a", Address: "a:1", AccountedTerm: test.accountedTerm}, {ID: "b", Address: "b:1"}}, s.now)
			s.cell.WorkersLoaded()
			if waits := s.cell.previousOwnerStopsBy().After(s.now); waits != test.waits {
				t.Errorf("waits for previous owners: %v, want %v", waits, test.waits)
			}
		})
	}
}
