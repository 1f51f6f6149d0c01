package cellowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// Failure: a new owner's rows are replaced by those of the one before it.
func TestCondensedJobsAreWrittenUnderTheClaim(t *testing.T) {
	o := &Owner{claim: store.Check{Table: "cells", Key: "owner", Version: 7},
		deps: Deps{Jobs: celljobs.New(store.NewMonitored(&lateStore{}), "cell-0")}}
	r := &job.Record{ID: "00000000000000aa", Queue: "q", Spec: "text", Steps: []job.Step{{Count: 3}}, AcceptedAt: time.Now()}
	tx, err := o.condensed([]cell.CompactedJob{{Record: job.EndedRecord(r), Progress: &job.Progress{Final: job.Completed}}})
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

// Failure: a take-over on a small link lasts longer than leases, for texts of ended
// jobs.
func TestNewOwnersDoNotReadTheTextsOfEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		rows := &lateStore{rows: map[string]store.Row{}}
		const lease = 3 * time.Second
		o := New(cell.Settings{Term: 1, Lease: lease}, store.Check{}, Deps{Store: rows, Jobs: celljobs.New(store.NewMonitored(rows), "cell-0"),
			Leadership: confirmed{}, Metrics: NewMetrics(metrics.NewSet()), Log: log, AcrossPartitions: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.condenseLoop(ctx)
		r := &job.Record{ID: "00000000000000aa", Queue: "q", Service: "desk", MaxAttempts: 1, Spec: "text", Steps: []job.Step{{Count: 3}}, AcceptedAt: time.Now()}
		o.cell.Add(r, true)
		o.cell.Cancel(r.ID, time.Now())
		if got := o.commitOnce(ctx); got != committed {
			t.Fatalf("commit: %v", got)
		}
		time.Sleep(lease)
		if row, there := rows.row(celljobs.JobKey(r.ID)); there {
			t.Errorf("the record was condensed within a lease: %q", row.Value)
		}
		time.Sleep(3 * time.Second)
		row, _ := rows.row(celljobs.JobKey(r.ID))
		kept, err := job.DecodeRecord(row.Value)
		if err != nil || !kept.Ended {
			t.Errorf("three seconds after the lease the record is %+v, %v", kept, err)
		}
	})
}
