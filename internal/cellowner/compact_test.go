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

// Compaction must require the claim: a superseded owner would overwrite the rows of its
// successor.
func TestCompactedJobsAreWrittenUnderTheClaim(t *testing.T) {
	o := &Owner{claim: store.Check{Table: "cells", Key: "owner", Version: 7},
		deps: Deps{Jobs: celljobs.New(store.NewMonitored(&delayingStore{}), "cell-0")}}
	r := &job.Record{ID: "00000000000000aa", Queue: "q", Spec: "text", Steps: []job.Step{{Count: 3}}, AcceptedAt: time.Now()}
	tx, err := o.compactionTx([]cell.CompactedJob{{Record: job.EndedRecord(r), Progress: &job.Progress{Final: job.Completed}}})
	if err != nil {
		t.Fatal(err)
	}
	if len(tx.Checks) != 1 || tx.Checks[0] != o.claim {
		t.Errorf("checks: %v, want the claim only", tx.Checks)
	}
	if len(tx.Puts) != 2 || tx.Puts[0].Partition != o.deps.Jobs.RecordPartition(r.ID) || tx.Puts[1].Partition != "" {
		t.Fatalf("puts: %+v", tx.Puts)
	}
	kept, err := job.DecodeRecord(tx.Puts[0].Value)
	if err != nil || !kept.Ended || kept.Spec != "" || len(kept.Steps) > 0 || kept.ID != r.ID {
		t.Errorf("record: %+v, error %v", kept, err)
	}
	if 2*compactBatchSize+len(tx.Checks) > store.MaxEntries {
		t.Errorf("%d jobs exceed the entries of one transaction", compactBatchSize)
	}
}

// Guards against slow takeovers: over a slow link, reading the texts of ended jobs took longer
// than the leases lasted.
func TestNewOwnersDoNotReadTheTextsOfEndedJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		rows := &delayingStore{rows: map[string]store.Row{}}
		const lease = 3 * time.Second
		o := New(cell.Settings{Term: 1, Lease: lease}, store.Check{}, Deps{Store: rows, Jobs: celljobs.New(store.NewMonitored(rows), "cell-0"),
			Leadership: confirmedLeadership{}, Metrics: NewMetrics(metrics.NewSet()), Log: log, AcrossPartitions: true})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.compactLoop(ctx)
		r := &job.Record{ID: "00000000000000aa", Queue: "q", Service: "desk", MaxAttempts: 1, Spec: "text", Steps: []job.Step{{Count: 3}}, AcceptedAt: time.Now()}
		o.cell.Add(r, true)
		o.cell.Cancel(r.ID, time.Now())
		if got := o.commitOnce(ctx); got != committed {
			t.Fatalf("commit: %v", got)
		}
		time.Sleep(lease)
		if row, there := rows.row(celljobs.JobKey(r.ID)); there {
			t.Errorf("the record was compacted within a lease: %q", row.Value)
		}
		time.Sleep(3 * time.Second)
		row, _ := rows.row(celljobs.JobKey(r.ID))
		kept, err := job.DecodeRecord(row.Value)
		if err != nil || !kept.Ended {
			t.Errorf("record 3 s after the lease: %+v, error %v", kept, err)
		}
	})
}
