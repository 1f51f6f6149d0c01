package cellowner

import (
	"context"
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// checkRows returns a store.RejectedError if a value of a transaction exceeds a row.
func (o *Owner) checkRows(tx store.Tx) error {
	for _, put := range tx.Puts {
		if len(put.Value) > o.rowBytes {
			return &store.RejectedError{Reason: fmt.Sprintf("row %s has %d bytes; at most %d", put.Key, len(put.Value), o.rowBytes)}
		}
	}
	return nil
}

// storeSeparately stores the jobs and chunks of a commit one by one, after their
// transaction was rejected, and leaves out those that are rejected again. The chunks of a commit
// omit runs whose ends are stored with its jobs. If a job is rejected, they are left to a later
// commit, which lists these runs: a successor could otherwise start the tasks again.
func (o *Owner) storeSeparately(ctx context.Context, commit *cell.Commit, cause error) commitResult {
	units := commit.Split()
	if len(units) == 1 {
		o.reject(commit, cause)
		return committed
	}
	o.deps.Metrics.CommitErrors.Inc()
	o.deps.Log.WithField("jobs", len(commit.Items)).WithError(cause).Warn("commit_rejected")
	jobRejected := false
	for i, unit := range units {
		if jobRejected && len(unit.Chunks) > 0 {
			o.cell.CommitFailed(unit)
			continue
		}
		err := o.store(ctx, unit)
		var rejected *store.RejectedError
		switch {
		case err == nil:
			o.cell.Committed(unit)
		case errors.As(err, &rejected):
			o.reject(unit, err)
			jobRejected = jobRejected || len(unit.Items) > 0
		default:
			for _, rest := range units[i+1:] {
				o.cell.CommitFailed(rest)
			}
			return o.commitFailed(ctx, unit, err)
		}
	}
	o.notifyCommitted()
	return committed
}

// reject reports a job or chunk that cannot be stored, and leaves it out of commits for a while.
func (o *Owner) reject(unit *cell.Commit, cause error) {
	o.cell.Reject(unit)
	o.deps.Metrics.CommitErrors.Inc()
	fields := logrus.Fields{}
	for _, item := range unit.Items {
		fields["job"] = item.Job
	}
	for _, chunk := range unit.Chunks {
		fields["chunk"] = chunk.Number
	}
	o.deps.Log.WithFields(fields).WithError(cause).Error("row_not_stored")
}

// encodeItem returns the rows of a job's progress to write and to remove.
func encodeItem(item cell.CommitItem) (puts []store.Put, removals []store.RowKey, err error) {
	value, err := job.EncodeProgress(item.Progress)
	if err != nil {
		return nil, nil, fmt.Errorf("job %s: %w", item.Job, err)
	}
	puts = append(puts, store.Put{Table: celljobs.TableProgress, Key: item.Job, Value: value})
	for _, part := range item.Parts {
		key := celljobs.PartKey(item.Job, part.ID)
		if part.Progress == nil {
			removals = append(removals, store.RowKey{Table: celljobs.TableProgress, Key: key})
			continue
		}
		if value, err = job.EncodeProgress(part.Progress); err != nil {
			return nil, nil, fmt.Errorf("job %s, part %s: %w", item.Job, part.ID, err)
		}
		puts = append(puts, store.Put{Table: celljobs.TableProgress, Key: key, Value: value})
	}
	return puts, removals, nil
}

// encodeChunk returns the row of a chunk of the known workers.
func encodeChunk(chunk cell.WorkerChunk) (store.Put, error) {
	value, err := celljobs.EncodeWorkers(chunk.Workers)
	if err != nil {
		return store.Put{}, fmt.Errorf("chunk %d: %w", chunk.Number, err)
	}
	return store.Put{Table: celljobs.TableProgress, Key: celljobs.WorkersKey(chunk.Number), Value: value}, nil
}
