package cellowner

import (
	"context"
	"testing"
	"time"

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

// Guards against a task that runs twice after a takeover: the answer to a waiting poll shows the
// superseded owner a run of a job that only its successor was told of.
func TestSupersededOwnerDoesNotLoadTheJobsOfItsSuccessor(t *testing.T) {
	for name, c := range map[string]struct {
		claim  uint64
		loaded bool
	}{"claim unchanged": {1, true}, "superseded": {2, false}} {
		client := &lossyWorker{}
		o := ownerBeforeItsPlan(t, client)
		record, err := job.EncodeRecord(&job.Record{ID: "00000000000000bb", Queue: "q", Service: "desk", Steps: []job.Step{{Count: 1}}})
		if err != nil {
			t.Fatal(err)
		}
		lost := &recordedLeadership{}
		s := &claimAndJobStore{claim: c.claim, record: record}
		o.claim = store.Check{Table: "claims", Key: "owner", Version: 1}
		o.deps.Store, o.deps.Jobs, o.deps.Leadership = s, celljobs.New(store.NewMonitored(s), "cell"), lost
		o.cell.Reported("w", runner.Report{Clock: 2 * time.Minute, Running: []runner.RunState{{Task: "00000000000000bb.0.0.0", Run: 33}}}, time.Now(), time.Now())
		o.loadMissingJobs(t.Context())
		if _, loaded := o.cell.Status("00000000000000bb"); loaded != c.loaded || (len(lost.lost) == 0) != c.loaded {
			t.Errorf("%s: job loaded %v, want %v; ownership ended: %v", name, loaded, c.loaded, lost.lost)
		}
	}
}
