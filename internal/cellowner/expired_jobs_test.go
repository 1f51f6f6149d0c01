package cellowner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/store"
)

// oneJobStore holds the record of one job, and refuses writes while it is read-only.
type oneJobStore struct {
	store.Store
	row      store.Row
	readOnly bool
	// whileRead is called, if set, after the record was read and before the read returns. Partitions
	// are read concurrently.
	whileRead func()
}

func (s *oneJobStore) Get(context.Context, string, string, string) (store.Row, error) {
	return store.Row{}, nil
}

func (s *oneJobStore) Read(_ context.Context, _, partition, _ string) (store.Page, error) {
	page := store.Page{Version: 9}
	if partition == s.row.Partition {
		page.Rows = []store.Row{s.row}
	}
	if s.whileRead != nil {
		s.whileRead()
	}
	return page, nil
}

func (s *oneJobStore) Commit(context.Context, store.Tx) (uint64, error) {
	if s.readOnly {
		return 0, store.ErrUnavailable
	}
	return 10, nil
}

// Guards against a job that runs again minutes after its end: its record could not be removed, and all
// jobs are read again.
func TestExpiredJobIsKnownUntilItsRecordIsRemoved(t *testing.T) {
	o, s, id := newOwnerOfExpiredJob(t)
	s.readOnly = true
	o.removeExpired(t.Context())
	o.reloadJobs(t.Context())
	if o.jobsVersion != 9 {
		t.Fatal("the jobs were not read")
	}
	if n := o.cell.Waiting("q"); n > 0 {
		t.Errorf("%d jobs wait, want none", n)
	}
	s.readOnly = false
	o.removeExpired(t.Context())
	if _, known := o.cell.Status(id); known {
		t.Error("the job is still known after its record was removed")
	}
}

// Guards against a job that runs again minutes after its end: its record was removed while all jobs
// were read.
func TestExpiredJobIsNotReadAgainWhileItsRecordIsRemoved(t *testing.T) {
	o, s, id := newOwnerOfExpiredJob(t)
	var once sync.Once
	removed := false
	s.whileRead = func() {
		once.Do(func() {
			o.removeExpired(t.Context())
			removed = true
		})
	}
	o.reloadJobs(t.Context())
	if o.jobsVersion != 9 || !removed {
		t.Fatal("the jobs were not read, or none was removed")
	}
	if status, known := o.cell.Status(id); known {
		t.Errorf("the job is %s although its record was removed", status.State)
	}
}

// newOwnerOfExpiredJob returns an owner that knows a job which ended long ago, the store with its
// record, and its id.
func newOwnerOfExpiredJob(t *testing.T) (o *Owner, s *oneJobStore, id string) {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	ended := &job.Record{ID: "00000000000000aa", Queue: "q", Service: "desk", MaxAttempts: 1, AcceptedAt: time.Now().Add(-time.Hour),
		Steps: []job.Step{{Count: 1, Need: resource.Amount{MilliCPU: 500, MemoryMiB: 10}, Estimate: time.Second}}}
	value, err := job.EncodeRecord(ended)
	if err != nil {
		t.Fatal(err)
	}
	s = &oneJobStore{}
	jobs := celljobs.New(store.NewMonitored(s), "cell")
	s.row = store.Row{Table: celljobs.TableJobs, Partition: jobs.RecordPartition(ended.ID), Key: celljobs.JobKey(ended.ID), Value: value, Version: 1}
	o = New(cell.Settings{Term: 1}, store.Check{}, Deps{Store: s, Jobs: jobs, Leadership: confirmedLeadership{}, Metrics: NewMetrics(metrics.NewSet()), Log: log})
	o.cell.Load(ended, &job.Progress{Final: job.Completed, EndedAtMillis: time.Now().Add(-time.Hour).UnixMilli()})
	return o, s, ended.ID
}
