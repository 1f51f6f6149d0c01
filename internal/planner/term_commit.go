package planner

import (
	"context"
	"errors"
	"time"

	"gentianstand/internal/fault"
)

type commitResult struct {
	batch *Batch
	err   error
}

// write starts a group commit if none is in progress. In a confirmed outage,
// starts of repeatable work are released without being written, and rows wait
// until the table is available again.
func (t *term) write(ctx context.Context, now time.Time) {
	if t.writing {
		return
	}
	if t.planner.rights.Outage(now) {
		t.core.ReleaseUnwritten()
		return
	}
	if !t.core.Dirty() || now.Before(t.retryAt) {
		return
	}
	batch, err := t.core.Changes()
	if err != nil {
		t.log.WithError(err).Error("planner_rows_unwritable")
		return
	}
	t.writing = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		err := t.seq.commit(ctx, batch.Puts, batch.Deletes)
		select {
		case t.results <- commitResult{batch, err}:
		case <-t.done:
		}
	}()
}

// finishCommit handles the result of a group commit. It returns false if the
// term is over.
func (t *term) finishCommit(result commitResult) bool {
	t.writing = false
	t.planner.metrics.commits.Inc()
	t.planner.metrics.rows.Add(len(result.batch.Puts))
	switch {
	case result.err == nil:
		t.core.Committed(result.batch)
	case errors.Is(result.err, errSuperseded):
		t.log.Warn("planner_overtaken")
		for _, notify := range result.batch.waiters {
			notify(unconfirmedWrite(result.err))
		}
		return false
	default:
		t.log.WithError(result.err).Warn("planner_commit_failed")
		t.retryAt = time.Now().Add(idlePeriod)
		t.core.CommitFailed(result.batch, t.planner.rights.Outage(time.Now()), unconfirmedWrite(result.err))
	}
	return true
}

func unconfirmedWrite(err error) error {
	return fault.New(fault.PlatformUnavailable, "the table did not say whether this was kept; ask again with the same key: %w", err).
		WithOutcome(fault.MayHaveRun)
}
