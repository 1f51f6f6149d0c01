package celljobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentianstand/internal/access"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// probeTimeout bounds a probe, also of a slow store.
const probeTimeout = 500 * time.Millisecond

// Jobs writes and reads the jobs of one cell.
type Jobs struct {
	store   *store.Monitored
	cell    string
	readers int
}

// New returns the jobs of a cell.
func New(s *store.Monitored, cell string) *Jobs {
	return &Jobs{store: s, cell: cell, readers: mostReaders}
}

// WithReaders returns the same jobs, read some partitions at a time; see ReadersFor.
func (b *Jobs) WithReaders(readers int) *Jobs {
	return &Jobs{store: b.store, cell: b.cell, readers: readers}
}

// ProgressPartition returns the partition of progress and of the cell's claim.
func (b *Jobs) ProgressPartition() string { return b.cell }

// RecordPartition returns the partition of a job's record and cancellation.
func (b *Jobs) RecordPartition(id string) string { return recordPartition(b.cell, id) }

// Owns reports whether a partition holds records of this cell.
func (b *Jobs) Owns(partition string) bool { return strings.HasPrefix(partition, b.cell+"/") }

// Create stores a record. A record that is already there counts as stored, so a
// submission may be repeated; created says that this submission wrote it. It returns
// store.ErrUnavailable only if no attempt can have taken effect, ErrIDTaken if the id is
// that of another workspace's job, and store.ErrUnknown otherwise.
func (b *Jobs) Create(ctx context.Context, r *job.Record) (created bool, err error) {
	value, err := job.EncodeRecord(r)
	if err != nil {
		return false, err
	}
	tx := store.Tx{
		Partition: b.RecordPartition(r.ID),
		Checks:    []store.Check{{Table: TableJobs, Key: JobKey(r.ID)}},
		Puts:      []store.Put{{Table: TableJobs, Key: JobKey(r.ID), Value: value}},
	}
	var conflict *store.ConflictError
	if err = b.settle(ctx, tx); errors.As(err, &conflict) {
		if isStored(tx.Puts[0], conflict.Rows) {
			return true, nil
		}
		return false, takenBy(r.Workspace, conflict.Rows)
	}
	return err == nil, err
}

// ErrIDTaken says that a job's id is in use by another workspace.
var ErrIDTaken = errors.New("the id is in use by another workspace")

// takenBy returns ErrIDTaken if a stored record is that of another workspace. A record
// without one was handed in without a key, as a queue's calls may be again.
func takenBy(workspace string, rows []store.Row) error {
	stored, err := recordIn(rows)
	if err != nil {
		return err
	}
	if stored.Workspace != "" && workspace != "" && stored.Workspace != workspace {
		return ErrIDTaken
	}
	return nil
}

// recordIn returns the record among the rows that a write found in its place.
func recordIn(rows []store.Row) (*job.Record, error) {
	for _, row := range rows {
		if _, cancel, ok := ParseKey(row.Key); ok && !cancel && row.Version > 0 {
			return job.DecodeRecord(row.Value)
		}
	}
	return nil, errors.New("the store reports a conflict without a record")
}

// isStored reports whether one of the rows is what a put writes: then an attempt
// whose answer is missing has taken effect. Records differ in their submission, so
// the row of another submission of the same job is not taken for it.
func isStored(put store.Put, rows []store.Row) bool {
	return slices.ContainsFunc(rows, func(row store.Row) bool {
		return row.Table == put.Table && row.Key == put.Key && bytes.Equal(row.Value, put.Value)
	})
}

// Probe asks the store for something harmless, and returns an error unless it
// answers soon.
func (b *Jobs) Probe(ctx context.Context, id string) error {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := b.store.Get(callCtx, TableJobs, b.RecordPartition(id), JobKey(id))
	return err
}

// Cancel stores a cancellation and reports whether the caller has such a job. An unknown
// job is withdrawn: its submission, if it is still on its way, has no effect.
// known says that it is already sure that the job exists and is the caller's.
func (b *Jobs) Cancel(ctx context.Context, by access.Caller, id string, known bool) (bool, error) {
	if !known {
		found, err := b.withdraw(ctx, by, id)
		if err != nil || !found {
			return false, err
		}
	}
	err := b.settle(ctx, store.Tx{
		Partition: b.RecordPartition(id),
		Puts:      []store.Put{{Table: TableJobs, Key: CancelKey(id), Value: []byte{1}}},
	})
	return true, err
}

// withdraw stores a withdrawn record unless the job exists, and reports whether it does
// and is the caller's.
func (b *Jobs) withdraw(ctx context.Context, by access.Caller, id string) (found bool, err error) {
	value, err := job.EncodeRecord(&job.Record{ID: id, Workspace: by.Workspace, Withdrawn: true})
	if err != nil {
		return false, err
	}
	err = b.settle(ctx, store.Tx{
		Partition: b.RecordPartition(id),
		Checks:    []store.Check{{Table: TableJobs, Key: JobKey(id)}},
		Puts:      []store.Put{{Table: TableJobs, Key: JobKey(id), Value: value}},
	})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	stored, err := recordIn(conflict.Rows)
	if err != nil {
		return false, fmt.Errorf("job %s: %w", id, err)
	}
	return !stored.Withdrawn && by.MaySee(stored.Workspace), nil
}

// Status reads the state of a job; ok is false if it was never accepted.
func (b *Jobs) Status(ctx context.Context, id string) (status job.Status, ok bool, err error) {
	record, err := b.store.Get(ctx, TableJobs, b.RecordPartition(id), JobKey(id))
	if err != nil || record.Version == 0 {
		return job.Status{}, false, err
	}
	r, err := job.DecodeRecord(record.Value)
	if err != nil {
		return job.Status{}, false, fmt.Errorf("job %s: %w", id, err)
	}
	if r.Withdrawn {
		return job.Status{}, false, nil
	}
	cancel, err := b.store.Get(ctx, TableJobs, b.RecordPartition(id), CancelKey(id))
	if err != nil {
		return job.Status{}, false, err
	}
	row, err := b.store.Get(ctx, TableProgress, b.cell, id)
	if err != nil {
		return job.Status{}, false, err
	}
	state, ok, err := stateOf(row, cancel.Version > 0)
	return job.Status{State: state, Workspace: r.Workspace}, ok, err
}

func stateOf(progress store.Row, cancelled bool) (job.State, bool, error) {
	if progress.Version == 0 {
		if cancelled {
			return job.Cancelled, true, nil
		}
		return job.Queued, true, nil
	}
	p, err := job.DecodeProgress(progress.Value)
	switch {
	case err != nil:
		return "", false, fmt.Errorf("progress of job %s: %w", progress.Key, err)
	case p.Final != "":
		return p.Final, true, nil
	case cancelled:
		return job.Cancelled, true, nil
	}
	return job.Running, true, nil
}
