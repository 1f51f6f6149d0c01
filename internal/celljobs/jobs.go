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

// probeTimeout bounds a probe, in a slow store too.
const probeTimeout = 500 * time.Millisecond

// Jobs writes and reads the jobs of one cell.
type Jobs struct {
	store   *store.Monitored
	cell    string
	readers int
}

// New returns the jobs of a cell.
func New(s *store.Monitored, cell string) *Jobs {
	return &Jobs{store: s, cell: cell, readers: maxReaders}
}

// WithReaders returns the same jobs, with the given number of partitions read at the same time;
// see ReadersFor.
func (j *Jobs) WithReaders(readers int) *Jobs {
	return &Jobs{store: j.store, cell: j.cell, readers: readers}
}

// ProgressPartition returns the partition of progress and of the cell's claim.
func (j *Jobs) ProgressPartition() string { return j.cell }

// RecordPartition returns the partition of a job's record and cancellation.
func (j *Jobs) RecordPartition(id string) string { return recordPartition(j.cell, id) }

// Owns reports whether a partition holds records of this cell.
func (j *Jobs) Owns(partition string) bool { return strings.HasPrefix(partition, j.cell+"/") }

// Create stores a record. A record that is already stored counts as a success, so a submission
// may be repeated; created is true if this submission wrote it. Create returns
// store.ErrUnavailable only if no attempt can have taken effect, ErrIDTaken if the id is that of
// a job of another workspace, and store.ErrUnknown otherwise.
func (j *Jobs) Create(ctx context.Context, r *job.Record) (created bool, err error) {
	value, err := job.EncodeRecord(r)
	if err != nil {
		return false, err
	}
	tx := store.Tx{
		Partition: j.RecordPartition(r.ID),
		Checks:    []store.Check{{Table: TableJobs, Key: JobKey(r.ID)}},
		Puts:      []store.Put{{Table: TableJobs, Key: JobKey(r.ID), Value: value}},
	}
	var conflict *store.ConflictError
	if err = j.commitWithRetry(ctx, tx); errors.As(err, &conflict) {
		if containsPut(tx.Puts[0], conflict.Rows) {
			return true, nil
		}
		return false, checkWorkspace(r.Workspace, conflict.Rows)
	}
	return err == nil, err
}

// ErrIDTaken means that the id of a job is in use by another workspace.
var ErrIDTaken = errors.New("the id is in use by another workspace")

// checkWorkspace returns ErrIDTaken if a stored record is that of another workspace. A record
// without a workspace was submitted without a key, and a queue may accept such calls again.
func checkWorkspace(workspace string, rows []store.Row) error {
	stored, err := findRecord(rows)
	if err != nil {
		return err
	}
	if stored.Workspace != "" && workspace != "" && stored.Workspace != workspace {
		return ErrIDTaken
	}
	return nil
}

// findRecord returns the job record among the rows of a conflict.
func findRecord(rows []store.Row) (*job.Record, error) {
	for _, row := range rows {
		if _, cancel, ok := ParseKey(row.Key); ok && !cancel && row.Version > 0 {
			return job.DecodeRecord(row.Value)
		}
	}
	return nil, errors.New("the store reports a conflict without a record")
}

// containsPut reports whether one of the rows is what a put writes. An attempt whose answer was
// lost has then taken effect. Records contain the number of their submission, so the row of
// another submission of the same job does not match.
func containsPut(put store.Put, rows []store.Row) bool {
	return slices.ContainsFunc(rows, func(row store.Row) bool {
		return row.Table == put.Table && row.Key == put.Key && bytes.Equal(row.Value, put.Value)
	})
}

// Probe makes a harmless read, and returns an error unless the store answers soon.
func (j *Jobs) Probe(ctx context.Context, id string) error {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := j.store.Get(callCtx, TableJobs, j.RecordPartition(id), JobKey(id))
	return err
}

// Cancel stores a cancellation and reports whether the caller has such a job. An unknown job is
// withdrawn: its submission has no effect if it arrives later. known is true if the job is known
// to exist and to belong to the caller.
func (j *Jobs) Cancel(ctx context.Context, by access.Caller, id string, known bool) (bool, error) {
	if !known {
		found, err := j.withdraw(ctx, by, id)
		if err != nil || !found {
			return false, err
		}
	}
	err := j.commitWithRetry(ctx, store.Tx{
		Partition: j.RecordPartition(id),
		Puts:      []store.Put{{Table: TableJobs, Key: CancelKey(id), Value: []byte{1}}},
	})
	return true, err
}

// withdraw stores a withdrawn record unless the job exists, and reports whether it exists and
// belongs to the caller.
func (j *Jobs) withdraw(ctx context.Context, by access.Caller, id string) (found bool, err error) {
	value, err := job.EncodeRecord(&job.Record{ID: id, Workspace: by.Workspace, Withdrawn: true})
	if err != nil {
		return false, err
	}
	err = j.commitWithRetry(ctx, store.Tx{
		Partition: j.RecordPartition(id),
		Checks:    []store.Check{{Table: TableJobs, Key: JobKey(id)}},
		Puts:      []store.Put{{Table: TableJobs, Key: JobKey(id), Value: value}},
	})
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return false, err
	}
	stored, err := findRecord(conflict.Rows)
	if err != nil {
		return false, fmt.Errorf("job %s: %w", id, err)
	}
	return !stored.Withdrawn && by.MaySee(stored.Workspace), nil
}

// Status reads the state of a job; ok is false if it was never accepted.
func (j *Jobs) Status(ctx context.Context, id string) (status job.Status, ok bool, err error) {
	record, err := j.get(ctx, TableJobs, j.RecordPartition(id), JobKey(id))
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
	cancel, err := j.get(ctx, TableJobs, j.RecordPartition(id), CancelKey(id))
	if err != nil {
		return job.Status{}, false, err
	}
	state, err := j.state(ctx, id, cancel.Version > 0)
	return job.Status{State: state, Workspace: r.Workspace}, err == nil, err
}

// state returns the state of a job that exists.
func (j *Jobs) state(ctx context.Context, id string, cancelled bool) (job.State, error) {
	if cancelled {
		return j.cancelledState(ctx, id)
	}
	return j.progressState(ctx, id)
}

// cancelledState returns the state of a job that has a cancellation. The owner may not know of the
// cancellation yet, and may store that the job is completed. The job is cancelled only if it has a mark
// and no final state was stored before the mark.
func (j *Jobs) cancelledState(ctx context.Context, id string) (job.State, error) {
	mark, err := j.get(ctx, TableProgress, j.cell, MarkKey(id))
	if err != nil {
		return "", err
	}
	state, err := j.progressState(ctx, id)
	if err != nil || state.Final() {
		return state, err
	}
	if mark.Version > 0 {
		return job.Cancelled, nil
	}
	if err := j.putMark(ctx, id); err != nil {
		return "", err
	}
	if state, err = j.progressState(ctx, id); err != nil || state.Final() {
		return state, err
	}
	return job.Cancelled, nil
}

// putMark stores the mark of a job that is shown as cancelled.
func (j *Jobs) putMark(ctx context.Context, id string) error {
	return j.commitWithRetry(ctx, store.Tx{
		Partition: j.ProgressPartition(),
		Puts:      []store.Put{{Table: TableProgress, Key: MarkKey(id), Value: []byte{1}}},
	})
}

// progressState returns the state of a job according to its progress.
func (j *Jobs) progressState(ctx context.Context, id string) (job.State, error) {
	row, err := j.get(ctx, TableProgress, j.cell, id)
	if err != nil || row.Version == 0 {
		return job.Queued, err
	}
	p, err := job.DecodeProgress(row.Value)
	switch {
	case err != nil:
		return "", fmt.Errorf("progress of job %s: %w", id, err)
	case p.Final != "":
		return p.Final, nil
	}
	return job.Running, nil
}
