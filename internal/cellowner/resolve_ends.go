package cellowner

import (
	"context"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// resolveEnds resolves the final states of the jobs whose marks are among the rows of a conflict, and
// reports whether it did. An attempt without an answer may have stored a final state before the mark.
// After the conflict none of the attempts can take effect any more, so the progress row tells.
func (o *Owner) resolveEnds(ctx context.Context, rows []store.Row) bool {
	for _, row := range rows {
		id, ok := celljobs.ParseMarkKey(row.Key)
		if !ok || row.Table != celljobs.TableProgress || row.Version == 0 {
			continue
		}
		stored, err := o.storedFinal(ctx, id)
		if err != nil {
			o.deps.Log.WithField("job", id).WithError(err).Info("final_state_not_read")
			return false
		}
		o.cell.ResolveEnd(id, stored)
	}
	return true
}

// storedFinal returns the stored final state of a job, or an empty state if it has none.
func (o *Owner) storedFinal(ctx context.Context, id string) (job.State, error) {
	callCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	row, err := o.deps.Store.Get(callCtx, celljobs.TableProgress, o.deps.Jobs.ProgressPartition(), id)
	if err != nil || row.Version == 0 {
		return "", err
	}
	p, err := job.DecodeProgress(row.Value)
	if err != nil {
		return "", err
	}
	return p.Final, nil
}
