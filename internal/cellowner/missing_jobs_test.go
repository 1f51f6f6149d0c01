package cellowner

import (
	"context"
	"slices"
	"testing"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// claimAndJobStore holds a claim of version 1 or 2 and the record of one job.
type claimAndJobStore struct {
	store.Store
	claim  uint64
	record []byte
	// cancelled is set if the job has a cancellation.
	cancelled bool
}

func (s *claimAndJobStore) Get(_ context.Context, table, _, key string) (store.Row, error) {
	switch table {
	case "claims":
		return store.Row{Key: key, Version: s.claim}, nil
	case celljobs.TableJobs:
		return store.Row{Key: key, Value: s.record, Version: 7}, nil
	}
	return store.Row{}, nil
}

func (s *claimAndJobStore) Read(_ context.Context, _, partition, _ string) (store.Page, error) {
	id := "00000000000000bb"
	if partition != celljobs.New(store.NewMonitored(s), "cell").RecordPartition(id) {
		return store.Page{Version: 7}, nil
	}
	page := store.Page{Rows: []store.Row{{Partition: partition, Key: celljobs.JobKey(id), Value: s.record, Version: 7}}, Version: 7}
	if s.cancelled {
		page.Rows = slices.Insert(page.Rows, 0, store.Row{Partition: partition, Key: celljobs.CancelKey(id), Version: 7})
	}
	return page, nil
}

// ownerOfAnUnknownJob returns an owner with a claim of version 1 and a worker that reports a run of a
// job that the owner does not know and the store has.
func ownerOfAnUnknownJob(t *testing.T, claim uint64) (*Owner, *recordedLeadership) {
	t.Helper()
	record, err := job.EncodeRecord(&job.Record{ID: "00000000000000bb", Queue: "q", Service: "desk", Steps: []job.Step{{Count: 1}}})
	if err != nil {
		t.Fatal(err)
	}
	o, lost, s := ownerBeforeItsPlan(t, &lossyWorker{}), &recordedLeadership{}, &claimAndJobStore{claim: claim, record: record}
	o.claim = store.Check{Table: "claims", Key: "owner", Version: 1}
	o.deps.Store, o.deps.Jobs, o.deps.Leadership = s, celljobs.New(store.NewMonitored(s), "cell"), lost
	o.cell.Reported("w", runner.Report{Clock: 2 * time.Minute, Running: []runner.RunState{{Task: "00000000000000bb.0.0.0", Run: 33}}}, time.Now(), time.Now())
	return o, lost
}

// Guards against a task that runs twice after a takeover: the superseded owner loads a job that only
// its successor was told of, after the answer to a waiting poll or with a read of all jobs.
func TestSupersededOwnerDoesNotLoadTheJobsOfItsSuccessor(t *testing.T) {
	for name, load := range map[string]func(*Owner){
		"missing job": func(o *Owner) { o.loadMissingJobs(t.Context()) },
		"all jobs":    func(o *Owner) { o.reloadJobs(t.Context()) },
	} {
		for claim, want := range map[uint64]bool{1: true, 2: false} {
			o, lost := ownerOfAnUnknownJob(t, claim)
			load(o)
			if _, loaded := o.cell.Status("00000000000000bb"); loaded != want || (len(lost.lost) == 0) != want {
				t.Errorf("%s, claim of version %d: loaded %v, want %v; ownership ended: %v", name, claim, loaded, want, lost.lost)
			}
		}
	}
}

// Guards against a cancelled job that runs: a read of all jobs lists the cancellation before the record.
func TestCancellationInAReadOfAllJobsIsApplied(t *testing.T) {
	o, _ := ownerOfAnUnknownJob(t, 1)
	o.deps.Store.(*claimAndJobStore).cancelled = true
	o.reloadJobs(t.Context())
	for _, order := range o.cell.Plan(time.Now(), cell.AdviceSlots{}) {
		if start, ok := order.(cell.StartOrder); ok && start.Start.Task == "00000000000000bb.0.0.0" {
			t.Errorf("run %d of the cancelled job was started", start.Start.Run)
		}
	}
	if n := o.cell.Waiting("q"); n != 1 {
		t.Errorf("%d jobs wait, want the other one only", n)
	}
}
