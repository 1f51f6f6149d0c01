package celljobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// probeTimeout bounds a probe, also of a slow store.
const probeTimeout = 500 * time.Millisecond

// Jobs writes and reads the jobs of one cell.
type Jobs struct {
	store   *store.Watched
	cell    string
	readers int
}

// New returns the jobs of a cell.
func New(s *store.Watched, cell string) *Jobs {
	return &Jobs{store: s, cell: cell, readers: mostReaders}
}

// Reading returns the same jobs, read some partitions at a time; see ReadersFor.
func (b *Jobs) Reading(readers int) *Jobs {
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
// store.ErrUnavailable only if no attempt can have taken effect, and
// store.ErrUnknown otherwise.
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
		return isStored(tx.Puts[0], conflict.Rows), nil
	}
	return err == nil, err
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

// Cancel stores a cancellation and reports whether the job is known. An unknown
// job is withdrawn: its submission, if it is still on its way, has no effect.
// known says that the caller is already sure that the job exists.
func (b *Jobs) Cancel(ctx context.Context, id string, known bool) (bool, error) {
	if !known {
		withdrawn, err := b.withdraw(ctx, id)
		if err != nil || withdrawn {
			return false, err
		}
	}
	err := b.settle(ctx, store.Tx{
		Partition: b.RecordPartition(id),
		Puts:      []store.Put{{Table: TableJobs, Key: CancelKey(id), Value: []byte{1}}},
	})
	return true, err
}

// withdraw stores a withdrawn record unless the job exists.
func (b *Jobs) withdraw(ctx context.Context, id string) (bool, error) {
	value, err := job.EncodeRecord(&job.Record{ID: id, Withdrawn: true})
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
		return err == nil, err
	}
	for _, row := range conflict.Rows {
		if r, err := job.DecodeRecord(row.Value); err == nil && r.Withdrawn {
			return true, nil
		}
	}
	return false, nil
}

// State reads the state of a job; ok is false if it was never accepted.
func (b *Jobs) State(ctx context.Context, id string) (state job.State, ok bool, err error) {
	record, err := b.store.Get(ctx, TableJobs, b.RecordPartition(id), JobKey(id))
	if err != nil || record.Version == 0 {
		return "", false, err
	}
	r, err := job.DecodeRecord(record.Value)
	if err != nil {
		return "", false, fmt.Errorf("job %s: %w", id, err)
	}
	if r.Withdrawn {
		return "", false, nil
	}
	cancel, err := b.store.Get(ctx, TableJobs, b.RecordPartition(id), CancelKey(id))
	if err != nil {
		return "", false, err
	}
	row, err := b.store.Get(ctx, TableProgress, b.cell, id)
	if err != nil {
		return "", false, err
	}
	return stateOf(row, cancel.Version > 0)
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
