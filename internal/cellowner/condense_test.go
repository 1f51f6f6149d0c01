package cellowner

import (
	"testing"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// Symptom: a new owner's rows are replaced by those of the one before it.
// Sequence: an owner condenses jobs; the write takes effect after it was overtaken.
// Cause to be ruled out: the write does not depend on the claim.
func TestCondensedJobsAreWrittenUnderTheClaim(t *testing.T) {
	o := &Owner{claim: store.Check{Table: "cells", Key: "owner", Version: 7},
		deps: Deps{Jobs: celljobs.New(store.NewWatched(&lateStore{}), "cell-0")}}
	r := &job.Record{ID: "00000000000000aa", Queue: "q", Spec: "text", Steps: []job.Step{{Count: 3}}, AcceptedAt: time.Now()}
	tx, err := o.condensed([]cell.Ended{{Record: job.EndedRecord(r), Progress: &job.Progress{Final: job.Completed}}})
	if err != nil {
		t.Fatal(err)
	}
	if len(tx.Checks) != 1 || tx.Checks[0] != o.claim {
		t.Errorf("checks are %v", tx.Checks)
	}
	if len(tx.Puts) != 2 || tx.Puts[0].Partition != o.deps.Jobs.RecordPartition(r.ID) || tx.Puts[1].Partition != "" {
		t.Fatalf("puts are %+v", tx.Puts)
	}
	kept, err := job.DecodeRecord(tx.Puts[0].Value)
	if err != nil || !kept.Ended || kept.Spec != "" || len(kept.Steps) > 0 || kept.ID != r.ID {
		t.Errorf("the record is %+v, %v", kept, err)
	}
	if 2*condenseMany+len(tx.Checks) > store.MaxEntries {
		t.Errorf("%d jobs are too many for one write", condenseMany)
	}
}
