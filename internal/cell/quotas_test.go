package cell

import (
	"testing"
	"time"

	"gentianstand/internal/catalog"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// cores returns a quota of n cores.
func cores(n int64) resource.Amount { return resource.Amount{MilliCPU: n * 1000} }

// configure puts a configuration into force in which one workspace has a quota.
func (s *site) configure(version uint64, workspace string, limit resource.Amount) {
	s.cell.Configure(catalog.New(catalog.Content{Version: version, Workspaces: []catalog.Workspace{{Name: workspace, Cap: limit}}}))
}

// recordOf returns a job of a workspace.
func (s *site) recordOf(workspace string, n int, steps ...job.Step) *job.Record {
	r := s.record(n, steps...)
	r.Workspace, r.CatalogVersion = workspace, 1
	return r
}

func quotaSite(t *testing.T, workers ...roster.Worker) *site {
	s := newSite(t, 1, workers...)
	s.configure(1, "north", cores(3))
	for _, w := range workers {
		s.report(w.ID)
	}
	return s
}

func TestStartsStayWithinTheQuota(t *testing.T) {
	longRunning := step(5)
	longRunning.LongRunning = true
	bestEffort := step(5)
	bestEffort.BestEffort = true
	gang, wideGang := step(3), step(4)
	gang.Gang, wideGang.Gang = true, true
	two := step(2)
	two.Gang = true
	for _, test := range []struct {
		name  string
		steps []job.Step
		want  int
	}{
		{"fewer", []job.Step{step(2)}, 2},
		{"as many", []job.Step{step(3)}, 3},
		{"more", []job.Step{step(5)}, 3},
		{"two steps", []job.Step{step(2), step(2)}, 3},
		{"long-running tasks", []job.Step{longRunning}, 3},
		{"best-effort tasks", []job.Step{bestEffort}, 3},
		{"gang", []job.Step{gang}, 3},
		{"gang that exceeds it", []job.Step{wideGang}, 0},
		{"gang beside tasks that leave too little", []job.Step{step(9), two}, 3},
	} {
		s := quotaSite(t, usualWorker("w1"), usualWorker("w2"))
		s.cell.Add(s.recordOf("north", 1, test.steps...), true)
		if got := len(s.plan()); got != test.want {
			t.Errorf("%s: %d starts, want %d", test.name, got, test.want)
		}
	}
}

// Guards against a workspace that exceeds its quota after it was lowered, or stays below it after
// it was raised.
func TestQuotaThatChanges(t *testing.T) {
	s := quotaSite(t, usualWorker("w1"))
	s.cell.Add(s.recordOf("north", 1, step(9)), true)
	first := s.plan()
	if len(first) != 3 {
		t.Fatalf("%d starts under a quota of 3, want 3", len(first))
	}
	s.configure(2, "north", cores(1))
	if starts := s.plan(); len(starts) != 0 || len(s.orders) != 0 {
		t.Errorf("orders under a lowered quota: %v", s.orders)
	}
	s.configure(3, "north", cores(5))
	if starts := s.plan(); len(starts) != 2 {
		t.Errorf("%d starts under a raised quota, want 2 more", len(starts))
	}
	for _, o := range first {
		s.confirm(o)
		s.finish(o, runner.Done)
	}
	s.report("w1")
	if starts := s.plan(); len(starts) != 3 {
		t.Errorf("%d starts after 3 ends, want 3", len(starts))
	}
}

// Guards against tasks of a new workspace that start before its quota is known.
func TestJobWaitsForTheConfigurationThatAcceptedIt(t *testing.T) {
	s := quotaSite(t, usualWorker("w1"))
	r := s.recordOf("south", 1, step(9))
	r.CatalogVersion = 2
	s.cell.Add(r, true)
	if starts := s.plan(); len(starts) != 0 {
		t.Fatalf("%d starts while the quota is unknown, want none", len(starts))
	}
	s.configure(2, "south", cores(4))
	if starts := s.plan(); len(starts) != 4 {
		t.Errorf("%d starts, want 4", len(starts))
	}
}

// Guards against stopping work of others, or reserving workers, for tasks that must not start
// because their workspace is at its quota.
func TestStageOverItsQuotaCostsNobodyElse(t *testing.T) {
	s := newSiteWith(t, Settings{Term: 1, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond, PreviousOwnerStopped: true}, usualWorker("w1"), usualWorker("w2"))
	s.configure(1, "north", cores(3))
	s.report("w1")
	s.report("w2")
	batch := step(32)
	batch.Checkpoint, batch.Estimate = true, time.Minute
	filler := s.record(1, batch)
	filler.Priority = 2
	s.cell.Add(filler, true)
	urgent := s.recordOf("north", 2, step(3))
	s.cell.Add(urgent, true)
	for _, o := range s.plan() {
		s.confirm(o)
	}
	large := step(2)
	large.Need = resource.Amount{MilliCPU: 12000, MemoryMiB: 100}
	over := s.recordOf("north", 3, step(4), large)
	over.Advice = &job.AdviceCost{PerCall: time.Millisecond, TicketTTL: time.Minute}
	s.cell.Add(over, true)
	for range 10 {
		s.advance(100 * time.Millisecond)
		s.report("w1")
		s.report("w2")
		s.plan()
		for _, o := range s.orders {
			switch o := o.(type) {
			case StopOrder, AdviceOrder, PollOrder:
				t.Fatalf("order %T %+v for a stage over its quota", o, o)
			}
		}
	}
	waits := s.cell.QuotaWaits(s.now)
	if len(waits) != 1 || waits[0].Workspace != "north" || waits[0].Tasks != 6 || waits[0].Used.MilliCPU != 3000 || waits[0].Version != 1 {
		t.Errorf("quota waits %+v, want 6 tasks of north", waits)
	}
	s.advance(longWaitAfter)
	reasons := map[WaitReason]int{}
	for _, w := range s.cell.LongWaits(s.now) {
		reasons[w.Reason]++
	}
	if reasons[OverQuota] != 2 {
		t.Errorf("reasons %v, want over_quota for the two stages", reasons)
	}
}

// Guards against a workspace that gets its quota twice after a takeover, because runs continue on
// workers that have not reported to the new owner yet.
func TestTakeOverCountsUnreportedRuns(t *testing.T) {
	s := newSite(t, 2, usualWorker("w1"), usualWorker("w2"))
	s.configure(1, "north", cores(3))
	s.cell.Load(s.recordOf("north", 1, step(3)), &job.Progress{})
	s.cell.LoadWorkers([]KnownWorker{{ID: "w1", Address: "w1:1", Incarnation: usualWorker("w1").Incarnation}, {ID: "w2", Address: "w2:1", Incarnation: usualWorker("w2").Incarnation}}, s.now)
	s.cell.WorkersLoaded()
	s.report("w1")
	s.cell.Add(s.recordOf("north", 2, step(3)), true)
	if starts := s.plan(); len(starts) != 0 {
		t.Errorf("%d starts while 3 unreported runs may continue, want none", len(starts))
	}
	s.advance(watchPeriod)
	s.report("w2")
	if starts := s.plan(); len(starts) != 3 {
		t.Errorf("%d starts after all workers have reported, want 3", len(starts))
	}
}
