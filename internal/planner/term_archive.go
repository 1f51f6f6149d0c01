package planner

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"gentianstand/internal/run"
)

// sweep moves expired runs from the table to the object store, at most loadPage
// per sweep.
func (t *term) sweep(ctx context.Context, now time.Time) {
	if t.writing || now.Sub(t.sweptAt) < sweepPeriod || t.planner.rights.Outage(now) {
		return
	}
	t.sweptAt = now
	expired := t.core.Expired(now)
	if len(expired) > loadPage {
		expired = expired[:loadPage]
	}
	if len(expired) == 0 {
		return
	}
	archived := slices.Clone(expired)
	go t.archive(ctx, archived)
}

// archive writes runs to the object store and then requests the deletion of
// their rows. A run whose object could not be written keeps its rows.
func (t *term) archive(ctx context.Context, runs []*run.Run) {
	for _, r := range runs {
		data, err := json.Marshal(r)
		if err != nil {
			continue
		}
		if err := t.planner.objects.PutObject(ctx, "runs/"+r.ID, data); err != nil {
			t.log.WithError(err).Warn("archive_failed")
			return
		}
		select {
		case t.calls <- func(c *Core) { c.removeRows(r.ID) }:
		case <-ctx.Done():
			return
		}
	}
}
